package org.arbutusstack.http.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.arbutusstack.kernel.Assert;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends the answer of an exchange part by part, without blocking the one who sends.
 *
 * <p>Call {@link #open} within the exchange's handler. The other methods may be called by any thread; the bytes go out
 * on the exchange's I/O thread. What waits to go out is bounded: a caller that reads too slowly is cut off.
 */
public final class ResponseStream {

    private static final long MOST_WAITING_BYTES = 4L * 1_024 * 1_024;

    private final HttpServerExchange exchange;

    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();

    private long waitingBytes;

    private boolean ending;

    private boolean closed;

    private boolean flushScheduled;

    private StreamSinkChannel channel;

    private ResponseStream(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /**
     * Takes over an exchange.
     *
     * @param exchange the exchange, within its handler's call
     * @param opened what is done with the stream once the handler has returned
     */
    public static void open(HttpServerExchange exchange, java.util.function.Consumer<ResponseStream> opened) {
        Assert.notNull(exchange, "exchange");
        ResponseStream stream = new ResponseStream(exchange);
        exchange.getConnection().addCloseListener(connection -> stream.markClosed());
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> opened.accept(stream));
    }

    private synchronized void markClosed() {
        closed = true;
        waiting.clear();
    }

    /**
     * Sets the status and a header; to be called before the first {@link #write}.
     *
     * @param status the status
     * @param contentType the content type
     */
    public void head(int status, String contentType) {
        exchange.setStatusCode(status);
        header("Content-Type", contentType);
    }

    /**
     * Sets a header; to be called before the first {@link #write}.
     *
     * @param name the header's name
     * @param value its value
     */
    public void header(String name, String value) {
        exchange.getResponseHeaders().put(new io.undertow.util.HttpString(name), value);
    }

    /**
     * Sends a part.
     *
     * @param bytes the part; not copied
     * @return {@code false} if the caller is gone or reads too slowly
     */
    public boolean write(byte[] bytes) {
        synchronized (this) {
            if (closed || ending) {
                return false;
            }
            waitingBytes += bytes.length;
            if (waitingBytes <= MOST_WAITING_BYTES) {
                waiting.add(ByteBuffer.wrap(bytes));
                schedule();
                return true;
            }
        }
        abort();
        return false;
    }

    /** Ends the answer after the parts sent. */
    public synchronized void end() {
        ending = true;
        schedule();
    }

    /** Closes the connection, so that the caller sees that the answer is not whole. */
    public void abort() {
        markClosed();
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }

    /**
     * Tells whether the caller's connection is closed.
     *
     * @return whether it is
     */
    public synchronized boolean isClosed() {
        return closed;
    }

    /**
     * Runs a task when the caller's connection closes.
     *
     * @param task the task; must not block
     */
    public void onClose(Runnable task) {
        exchange.getConnection().addCloseListener(connection -> task.run());
    }

    private void schedule() {
        if (flushScheduled) {
            return;
        }
        flushScheduled = true;
        exchange.getIoThread().execute(this::flush);
    }

    private void flush() {
        try {
            flushWaiting();
        } catch (IOException failure) {
            abort();
        }
    }

    private synchronized void flushWaiting() throws IOException {
        flushScheduled = false;
        if (closed) {
            return;
        }
        if (channel == null) {
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(ready -> flush());
        }
        while (!waiting.isEmpty()) {
            int count = channel.write(waiting.peek());
            waitingBytes -= count;
            if (waiting.peek().hasRemaining()) {
                channel.resumeWrites();
                return;
            }
            waiting.poll();
        }
        finish();
    }

    private void finish() throws IOException {
        if (ending) {
            closed = true;
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
