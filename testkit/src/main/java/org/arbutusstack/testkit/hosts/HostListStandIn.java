package org.arbutusstack.testkit.hosts;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;

/**
 * Answers {@code GET /hosts} with the list last put by {@code PUT /hosts}, some time late.
 *
 * <p>Safe for use by any thread.
 */
public final class HostListStandIn extends AbstractStandIn {

    private static final int NOT_FOUND = 404;

    private final long lagMillis;

    private volatile byte[] hosts = "{\"hosts\":[]}".getBytes(StandardCharsets.UTF_8);

    /**
     * Creates a stand-in.
     *
     * @param port the port, zero for any free one
     * @param lagMillis how long after a change the list shows it, in milliseconds
     */
    public HostListStandIn(int port, long lagMillis) {
        super(port);
        this.lagMillis = lagMillis;
    }

    /**
     * Replaces the list at once.
     *
     * @param json the list in JSON
     */
    public void put(byte[] json) {
        hosts = json;
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        if (!path.equals("/hosts")) {
            Responses.text(exchange, NOT_FOUND, "unknown path\n");
            return;
        }
        if (exchange.getRequestMethod().toString().equals("GET")) {
            Responses.json(exchange, OK, hosts);
            return;
        }
        ResponseStream.open(exchange, stream -> {
            exchange.getIoThread().executeAfter(() -> put(body), lagMillis, TimeUnit.MILLISECONDS);
            Responses.json(exchange, OK, "{}");
        });
    }
}
