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
 * Monitor of a connection that notifies the current exchange when the connection closes.
 *
 * <p>One close listener serves all exchanges of a connection, since a listener registered for each exchange would be
 * retained until the connection closes. Thread-safe.
 */
final class ConnectionMonitor {

    private static final Logger logger = LoggerFactory.getLogger(ConnectionMonitor.class);

    private static final AttachmentKey<ConnectionMonitor> KEY = AttachmentKey.create(ConnectionMonitor.class);

    private final AtomicReference<ResponseStream> current = new AtomicReference<>();

    private ConnectionMonitor() {}

    static void attach(HttpServerExchange exchange, ResponseStream stream) {
        ServerConnection connection = exchange.getConnection();
        ConnectionMonitor monitor = connection.getAttachment(KEY);
        if (monitor == null) {
            monitor = new ConnectionMonitor();
            connection.putAttachment(KEY, monitor);
            AtomicReference<ResponseStream> currentStream = monitor.current;
            connection.addCloseListener(closed -> notifyClosed(currentStream.getAndSet(null)));
        }
        AtomicReference<ResponseStream> currentStream = monitor.current;
        currentStream.set(stream);
        exchange.addExchangeCompleteListener((completed, next) -> {
            currentStream.compareAndSet(stream, null);
            stream.finished();
            next.proceed();
        });
    }

    /**
     * Close the connection as soon as the caller closes it. Undertow does not read while a request is handled, so that
     * a closed connection would otherwise be noticed only when the response is written.
     */
    static void closeWithCaller(HttpServerExchange exchange, ResponseStream stream) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            exchange.getIoThread().execute(() -> watchForClose(connection, stream));
        }
    }

    private static void watchForClose(HttpServerConnection connection, ResponseStream stream) {
        if (stream.isFinished() || connection.getExtraBytes() != null) {
            return;
        }
        connection.getChannel().getSourceChannel().setReadListener(channel -> onReadable(connection, stream));
        connection.getOriginalSourceConduit().resumeReads();
    }

    private static void onReadable(HttpServerConnection connection, ResponseStream stream) {
        if (stream.isFinished()) {
            connection.getOriginalSourceConduit().suspendReads();
            return;
        }
        if (!readOrClose(connection) && connection.getExtraBytes() != null) {
            connection.getOriginalSourceConduit().suspendReads();
        }
    }

    /**
     * Read the bytes that have arrived, push them back for the next request, and close the connection if the caller
     * closed it.
     */
    private static boolean readOrClose(HttpServerConnection connection) {
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

    private static void notifyClosed(ResponseStream stream) {
        if (stream != null) {
            try {
                stream.notifyClosed();
            } finally {
                stream.finished();
            }
        }
    }
}
