package org.arbutusstack.http.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * {@link ResponseSink} that sends the response of an exchange part by part without blocking the sender.
 *
 * <p>{@link #open} must be called within the exchange's handler. The other methods may be called by any thread; the
 * bytes are written on the exchange's I/O thread. The pending bytes are bounded: the connection of a caller that reads
 * too slowly is closed.
 */
public final class ResponseStream implements ResponseSink {

    private static final Logger logger = LoggerFactory.getLogger(ResponseStream.class);

    private static final long MAX_PENDING_BYTES = 4L * 1_024 * 1_024;

    private final HttpServerExchange exchange;

    private final Deque<ByteBuffer> pendingBuffers = new ArrayDeque<>();

    private long pendingBytes;

    private boolean ending;

    private boolean closed;

    private boolean flushScheduled;

    private boolean opened;

    private StreamSinkChannel channel;

    private Runnable closeTask;

    private Runnable finishTask;

    private boolean finished;

    private ResponseStream(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /**
     * Open a stream on an exchange.
     *
     * @param exchange the exchange, within the call of its handler
     * @param opened the consumer that receives the stream once the handler has returned
     */
    public static void open(HttpServerExchange exchange, Consumer<ResponseStream> opened) {
        Assert.notNull(exchange, "exchange");
        ResponseStream stream = new ResponseStream(exchange);
        ConnectionMonitor.attach(exchange, stream);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            stream.markOpened();
            opened.accept(stream);
        });
    }

    /** Allow writes on the I/O thread without rescheduling; before that, the exchange is still being dispatched. */
    private synchronized void markOpened() {
        this.opened = true;
    }

    private synchronized void markClosed() {
        closed = true;
        pendingBuffers.clear();
    }

    /**
     * Register a task that runs once the exchange has ended, whether the response was sent completely or the connection
     * closed.
     *
     * @param task the task to run; must not block
     */
    public void onFinish(Runnable task) {
        synchronized (this) {
            if (!finished) {
                finishTask = task;
                return;
            }
        }
        task.run();
    }

    synchronized boolean isFinished() {
        return finished || closed;
    }

    void finished() {
        Runnable task;
        synchronized (this) {
            task = finished ? null : finishTask;
            finished = true;
        }
        if (task != null) {
            task.run();
        }
    }

    void notifyClosed() {
        Runnable task;
        synchronized (this) {
            task = closeTask;
            closeTask = null;
            markClosed();
        }
        if (task != null) {
            task.run();
        }
    }

    @Override
    public void head(int status, String contentType) {
        exchange.setStatusCode(status);
        header("Content-Type", contentType);
    }

    @Override
    public void status(int status) {
        exchange.setStatusCode(status);
    }

    @Override
    public void closeConnectionAfterResponse() {
        exchange.setPersistent(false);
    }

    @Override
    public void header(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(name), value);
    }

    @Override
    public boolean write(byte[] bytes) {
        synchronized (this) {
            if (closed || ending) {
                return false;
            }
            pendingBytes += bytes.length;
            if (pendingBytes <= MAX_PENDING_BYTES) {
                pendingBuffers.add(ByteBuffer.wrap(bytes));
                scheduleFlush();
                return true;
            }
        }
        disconnect();
        return false;
    }

    @Override
    public synchronized void end() {
        ending = true;
        scheduleFlush();
    }

    @Override
    public void abort() {
        synchronized (this) {
            closeTask = null;
        }
        disconnect();
    }

    @Override
    public synchronized long pendingBytes() {
        return closed ? 0 : pendingBytes;
    }

    /** Close the connection, whose close listener then reports that the caller has gone. */
    @Override
    public void disconnect() {
        markClosed();
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    @Override
    public synchronized void onClose(Runnable task) {
        closeTask = task;
        ConnectionMonitor.closeWithCaller(exchange, this);
    }

    private void scheduleFlush() {
        if (flushScheduled) {
            return;
        }
        if (exchange.isInIoThread() && opened) {
            flush();
            return;
        }
        flushScheduled = true;
        exchange.getIoThread().execute(this::flush);
    }

    private void flush() {
        try {
            writePending();
        } catch (IOException failure) {
            logger.debug("event=response-write-failed detail={}", failure.getMessage());
            disconnect();
        }
    }

    private synchronized void writePending() throws IOException {
        flushScheduled = false;
        if (closed) {
            return;
        }
        if (channel == null) {
            markEnd();
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(ready -> flush());
        }
        while (!pendingBuffers.isEmpty()) {
            int count = channel.write(pendingBuffers.peek());
            pendingBytes -= count;
            if (pendingBuffers.peek().hasRemaining()) {
                channel.resumeWrites();
                return;
            }
            pendingBuffers.poll();
        }
        flushOrEnd();
    }

    /**
     * Mark the end of a body of unknown length by a last chunk. Without it, the end of a response after which the
     * connection is closed looks the same whether it is complete or was aborted.
     */
    private void markEnd() {
        if (exchange.isHttp11() && !exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
    }

    private void flushOrEnd() throws IOException {
        if (ending) {
            closed = true;
            closeTask = null;
            channel.getWriteSetter().set(null);
            exchange.endExchange();
            return;
        }
        if (channel.flush()) {
            channel.suspendWrites();
        } else {
            channel.resumeWrites();
        }
    }
}
