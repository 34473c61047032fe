package org.arbutusstack.http.server;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.Assert;
import org.xnio.IoUtils;

/**
 * Ends the connection of a request whose body is not read to its end.
 *
 * <p>Undertow would read and drop what still comes for some seconds, and a body without end would keep the I/O thread
 * all that time. Here nothing more is read, and the connection is closed once the answer has had time to arrive.
 */
public final class UnreadRequest {

    /** Several round trips between the regions of a deployment: a close that comes too soon would drop the answer. */
    private static final long LINGER_MILLIS = 300;

    private UnreadRequest() {}

    /**
     * Has the connection closed a while after the answer.
     *
     * @param exchange the exchange, before its answer is begun
     */
    public static void closeAfterResponse(HttpServerExchange exchange) {
        Assert.notNull(exchange, "exchange");
        exchange.setPersistent(false);
        Connectors.terminateRequest(exchange);
        // The next listener is the connection's own, which would read on.
        exchange.addExchangeCompleteListener((ended, next) -> {
            ServerConnection connection = ended.getConnection();
            ended.getIoThread().executeAfter(() -> IoUtils.safeClose(connection), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }
}
