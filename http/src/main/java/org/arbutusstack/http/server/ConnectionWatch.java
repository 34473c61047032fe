package org.arbutusstack.http.server;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Tells the exchange that a connection carries now when the connection closes.
 *
 * <p>One close listener serves all exchanges of a connection; a listener for each would stay until the connection
 * closes. Safe for use by any thread.
 */
final class ConnectionWatch {

    private static final Logger logger = LoggerFactory.getLogger(ConnectionWatch.class);

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

    /**
     * Closes the connection as soon as the caller has. Undertow reads nothing while a request is handled, so that the
     * end of a connection would be seen only when the answer is written.
     */
    static void awaitEnd(HttpServerExchange exchange, ResponseStream stream) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            exchange.getIoThread().execute(() -> listen(connection, stream));
        }
    }

    private static void listen(HttpServerConnection connection, ResponseStream stream) {
        if (stream.isFinished() || connection.getExtraBytes() != null) {
            return;
        }
        connection.getChannel().getSourceChannel().setReadListener(channel -> readable(connection, stream));
        connection.getOriginalSourceConduit().resumeReads();
    }

    private static void readable(HttpServerConnection connection, ResponseStream stream) {
        if (stream.isFinished()) {
            connection.getOriginalSourceConduit().suspendReads();
            return;
        }
        if (!hasEnded(connection) && connection.getExtraBytes() != null) {
            connection.getOriginalSourceConduit().suspendReads();
        }
    }

    /** Reads what has arrived, gives it back for the next request, and closes a connection that has ended. */
    private static boolean hasEnded(HttpServerConnection connection) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        int count = -1;
        try {
            count = connection.getOriginalSourceConduit().read(pooled.getBuffer());
        } catch (IOException broken) {
            logger.debug("event=caller-connection-broken detail={}", broken.getMessage());
        }
        if (count > 0) {
            pooled.getBuffer().flip();
            connection.ungetRequestBytes(pooled);
            return false;
        }
        pooled.close();
        if (count < 0) {
            IoUtils.safeClose(connection);
        }
        return count < 0;
    }

    private static void close(ResponseStream stream) {
        if (stream != null) {
            stream.connectionClosed();
            stream.finished();
        }
    }
}
