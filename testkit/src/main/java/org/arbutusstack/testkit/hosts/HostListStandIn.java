package org.arbutusstack.testkit.hosts;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;

/**
 * Stand-in for the host list: {@code GET /hosts} returns the list of the last {@code PUT /hosts} after a lag.
 *
 * <p>Thread-safe.
 */
public final class HostListStandIn extends AbstractStandIn {

    private static final int NOT_FOUND = 404;

    private final long lagMillis;

    private volatile byte[] hosts = "{\"hosts\":[]}".getBytes(StandardCharsets.UTF_8);

    /**
     * Create a stand-in with an empty list.
     *
     * @param port the port to listen on; zero for any free port
     * @param lagMillis the time until the list shows a change, in milliseconds
     */
    public HostListStandIn(int port, long lagMillis) {
        super(port);
        this.lagMillis = lagMillis;
    }

    /**
     * Replace the list immediately, without the lag.
     *
     * @param json the list as JSON
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
