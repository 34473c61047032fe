package org.arbutusstack.http.server;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.Assert;
import org.xnio.IoUtils;

/**
 * Support for closing the connection of a request whose body is not read completely.
 *
 * <p>Undertow would keep reading and discarding the rest of the body for some seconds, and an endless body would occupy
 * the I/O thread all that time. Here nothing more is read, and the connection is closed after a delay in which the
 * response can arrive.
 */
public final class UnreadRequest {

    /** Covers several round trips between the regions of a deployment: closing earlier could discard the response. */
    private static final long CLOSE_DELAY_MILLIS = 300;

    private UnreadRequest() {}

    /**
     * Send no more than the response on the connection of an exchange, and close it after a delay.
     *
     * @param exchange the exchange, whose response must not have been started
     */
    public static void closeAfterResponse(HttpServerExchange exchange) {
        Assert.notNull(exchange, "exchange");
        exchange.setPersistent(false);
        Connectors.terminateRequest(exchange);
        // The next listener belongs to the connection and would continue reading, so it is not called.
        exchange.addExchangeCompleteListener((ended, next) -> {
            ServerConnection connection = ended.getConnection();
            ended.getIoThread()
                    .executeAfter(() -> IoUtils.safeClose(connection), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        });
    }
}
