package org.arbutusstack.http.server;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reader of a large request body that asks before it allocates memory for a further part, and that can be stopped.
 *
 * <p>Confined to the I/O thread of the exchange.
 */
public final class RequestBodyReader {

    /** Large enough for few reads per body, and small enough that a body of unknown length wastes little. */
    private static final int SEGMENT_BYTES = 65_536;

    /** Reads in a row, after which the I/O thread serves other connections: 256 KiB. */
    private static final int MAX_READS_PER_TURN = 16;

    private final HttpServerExchange exchange;

    private final long declaredBytes;

    private final long maxBytes;

    private final Listener listener;

    private final List<ByteBuffer> segments = new ArrayList<>();

    private StreamSourceChannel channel;

    private long allocatedBytes;

    private boolean stopped;

    private RequestBodyReader(HttpServerExchange exchange, long maxBytes, Listener listener) {
        this.exchange = exchange;
        this.declaredBytes = exchange.getRequestContentLength();
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /**
     * Callback interface for a body; one of {@link #onBody}, {@link #onFailure} and {@link #onRefused} ends it, within
     * the call of a handler of the exchange.
     */
    public interface Listener {

        /**
         * Called before memory is allocated for a further part of the body.
         *
         * @param bytes the size of all parts including that one
         * @return {@code false} to stop reading, whereupon {@link #onRefused} is called
         */
        boolean mayAllocate(long bytes);

        /**
         * Called when bytes were received.
         *
         * @param count the number of bytes
         */
        void onReceived(int count);

        /**
         * Called with the complete body.
         *
         * @param ended the exchange
         * @param body the body; not used any further by the reader
         */
        void onBody(HttpServerExchange ended, byte[] body);

        /**
         * Called when the body is too long or broke off.
         *
         * @param ended the exchange
         * @param failure the cause
         */
        void onFailure(HttpServerExchange ended, IOException failure);

        /**
         * Called when the body is not read any further; the rest of it is still to come.
         *
         * @param ended the exchange
         */
        void onRefused(HttpServerExchange ended);
    }

    /**
     * Read the body of a request.
     *
     * @param exchange the exchange, within the call of its handler
     * @param maxBytes the maximum size of the body, in bytes
     * @param listener called with the body
     * @return the reader, which can be stopped
     */
    public static RequestBodyReader read(HttpServerExchange exchange, long maxBytes, Listener listener) {
        Assert.notNull(exchange, "exchange");
        RequestBodyReader reader = new RequestBodyReader(exchange, maxBytes, Assert.notNull(listener, "listener"));
        if (reader.declaredBytes > maxBytes) {
            reader.stopped = true;
            listener.onFailure(exchange, reader.tooLong());
            return reader;
        }
        reader.channel = exchange.getRequestChannel();
        reader.channel.getReadSetter().set(ready -> reader.readTurn(true));
        reader.readTurn(false);
        return reader;
    }

    private IOException tooLong() {
        return new IOException("Got a body of more than " + maxBytes + " bytes");
    }

    /** Stop reading and release the memory; {@link Listener#onRefused} is called afterwards. */
    public void stop() {
        if (!stopped) {
            stopped = true;
            segments.clear();
            exchange.getIoThread().execute(() -> finish(true, listener::onRefused));
        }
    }

    private void readTurn(boolean isEvent) {
        try {
            for (int reads = 0; !stopped && reads < MAX_READS_PER_TURN; reads++) {
                if (!readOnce(isEvent)) {
                    return;
                }
            }
        } catch (IOException failure) {
            finish(isEvent, ended -> listener.onFailure(ended, failure));
            return;
        }
        if (!stopped) {
            // Bytes that the connection has already buffered would not make it ready again.
            channel.resumeReads();
            exchange.getIoThread().execute(() -> readTurn(true));
        }
    }

    /** Read once; return whether there may be more at once. */
    private boolean readOnce(boolean isEvent) throws IOException {
        ByteBuffer segment = segments.isEmpty() ? null : segments.get(segments.size() - 1);
        if (segment == null || !segment.hasRemaining()) {
            segment = allocate();
        }
        if (segment == null) {
            if (!stopped) {
                finish(isEvent, listener::onRefused);
            }
            return false;
        }
        int count = channel.read(segment);
        if (count == 0) {
            channel.resumeReads();
            return false;
        }
        if (count < 0) {
            byte[] body = join();
            finish(isEvent, ended -> listener.onBody(ended, body));
            return false;
        }
        listener.onReceived(count);
        if (receivedBytes() > maxBytes) {
            throw tooLong();
        }
        return true;
    }

    /** Return a new segment, or {@code null} if it is refused. */
    private ByteBuffer allocate() {
        // The end of a body is found by one more read, which needs room even if the body is complete.
        long missingBytes = declaredBytes < 0 ? SEGMENT_BYTES : Math.max(1, declaredBytes - allocatedBytes);
        int size = (int) Math.min(SEGMENT_BYTES, missingBytes);
        if (!listener.mayAllocate(allocatedBytes + size) || stopped) {
            return null;
        }
        ByteBuffer segment = ByteBuffer.allocate(size);
        allocatedBytes += size;
        segments.add(segment);
        return segment;
    }

    private long receivedBytes() {
        return allocatedBytes - segments.get(segments.size() - 1).remaining();
    }

    private byte[] join() {
        ByteBuffer body = ByteBuffer.allocate((int) receivedBytes());
        segments.forEach(segment -> body.put(segment.flip()));
        return body.array();
    }

    private void finish(boolean isEvent, Consumer<HttpServerExchange> outcome) {
        stopped = true;
        segments.clear();
        channel.getReadSetter().set(null);
        channel.suspendReads();
        if (isEvent) {
            Connectors.executeRootHandler(outcome::accept, exchange);
        } else {
            outcome.accept(exchange);
        }
    }
}
