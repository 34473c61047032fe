package org.arbutusstack.http.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Tells the exchange that a connection carries now when the connection closes.
 *
 * <p>One close listener serves all exchanges of a connection; a listener for each would stay until the connection
 * closes. Safe for use by any thread.
 */
final class ConnectionWatch {

    private static final AttachmentKey<ConnectionWatch> KEY = AttachmentKey.create(ConnectionWatch.class);

    private final AtomicReference<ResponseStream> current = new AtomicReference<>();

    private ConnectionWatch() {}

    static void follow(HttpServerExchange exchange, ResponseStream stream) {
        ServerConnection connection = exchange.getConnection();
        ConnectionWatch watch = connection.getAttachment(KEY);
        if (watch == null) {
            watch = new ConnectionWatch();
            connection.putAttachment(KEY, watch);
            AtomicReference<ResponseStream> followed = watch.current;
            connection.addCloseListener(closed -> close(followed.getAndSet(null)));
        }
        AtomicReference<ResponseStream> followed = watch.current;
        followed.set(stream);
        exchange.addExchangeCompleteListener((completed, next) -> {
            followed.compareAndSet(stream, null);
            stream.finished();
            next.proceed();
        });
    }

    private static void close(ResponseStream stream) {
        if (stream != null) {
            stream.connectionClosed();
            stream.finished();
        }
    }
}
