package org.arbutusstack.http.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends the answer of an exchange part by part, without blocking the one who sends.
 *
 * <p>Call {@link #open} within the exchange's handler. The other methods may be called by any thread; the bytes go out
 * on the exchange's I/O thread. What waits to go out is bounded: a caller that reads too slowly is cut off.
 */
public final class ResponseStream implements ResponseSink {

    private static final long MOST_WAITING_BYTES = 4L * 1_024 * 1_024;

    private final HttpServerExchange exchange;

    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();

    private long waitingBytes;

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
     * Takes over an exchange.
     *
     * @param exchange the exchange, within its handler's call
     * @param opened what is done with the stream once the handler has returned
     */
    public static void open(HttpServerExchange exchange, Consumer<ResponseStream> opened) {
        Assert.notNull(exchange, "exchange");
        ResponseStream stream = new ResponseStream(exchange);
        ConnectionWatch.follow(exchange, stream);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            stream.markOpened();
            opened.accept(stream);
        });
    }

    /** Lets parts be written at once; until then the exchange is still being dispatched. */
    private synchronized void markOpened() {
        this.opened = true;
    }

    private synchronized void markClosed() {
        closed = true;
        waiting.clear();
    }

    /**
     * Runs a task once the exchange has ended, whether the answer went out whole or the connection closed.
     *
     * @param task the task; must not block
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

    void connectionClosed() {
        Runnable task;
        synchronized (this) {
            task = closed ? null : closeTask;
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

    @Override
    public synchronized void end() {
        ending = true;
        schedule();
    }

    @Override
    public void abort() {
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
        ConnectionWatch.awaitEnd(exchange, this);
    }

    private void schedule() {
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
