package org.arbutusstack.http.client;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Exchange of one call and its response over one connection.
 *
 * <p>Runs on the connection's I/O thread, except for {@link #cancel()}, {@link #checkDeadline()} and {@link
 * #closeIfHeadTooLong()}, which any thread may call.
 */
final class UndertowExchange implements HttpClient.Cancellable {

    private static final Logger logger = LoggerFactory.getLogger(UndertowExchange.class);

    private static final int READ_BUFFER_BYTES = 8_192;

    /** Maximum number of reads in a row, after which the I/O thread serves other connections and timers. */
    private static final int MAX_READS_PER_TURN = 16;

    /** Bodies up to this size leave in one write with the head: a new connection's send buffer takes both. */
    private static final int MAX_BYTES_WITH_HEAD = 8_192;

    /** Sixteen times the maximum size of a response head in the limits that users specify. */
    private static final long MAX_HEAD_BYTES = 256L * 1_024;

    /** Maximum number of bytes between two parts of a body, or after the last one: sizes of chunks and trailers. */
    private static final long MAX_FRAMING_BYTES = 256L * 1_024;

    /** Makes connections count the bytes that they read. */
    private static final OptionMap STATISTICS_ENABLED = OptionMap.create(UndertowOptions.ENABLE_STATISTICS, true);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Timeout for opening a connection; long enough for one immediate retransmission of the SYN packet. */
    private static final long CONNECT_TIMEOUT_MILLIS = 800;

    private final UndertowHttpClient owner;

    private final HttpTarget target;

    private final HttpCall call;

    private final long deadlineNanos;

    private final HttpResponseListener listener;

    private final AtomicBoolean ended = new AtomicBoolean();

    private volatile boolean maybeSent;

    private boolean requestWritten;

    private volatile long unsentBytes;

    private long remainingBodyBytes = -1;

    private long keepAliveMillis = -1;

    private volatile ClientConnection connection;

    private volatile XnioExecutor.Key deadlineTimer;

    private volatile XnioExecutor.Key connectTimer;

    /** The number of bytes that the connection had read before this response. */
    private volatile long bytesReadBeforeHead;

    private volatile boolean headReceived;

    private volatile boolean headTooLong;

    private ByteBuffer readBuffer;

    private boolean awaitsTurn;

    /** The number of bytes that the connection had read when the last part of the body was received. */
    private long bytesReadBeforeFraming;

    UndertowExchange(
            UndertowHttpClient owner,
            HttpTarget target,
            HttpCall call,
            long deadlineNanos,
            HttpResponseListener listener) {
        this.owner = owner;
        this.target = target;
        this.call = call;
        this.deadlineNanos = deadlineNanos;
        this.listener = listener;
        this.unsentBytes = call.body().length;
    }

    void connect(UndertowClient client, XnioWorker worker, ByteBufferPool pool) {
        var ioThread = worker.getIoThread();
        long delayMillis = millisUntilDeadline();
        deadlineTimer = ioThread.executeAfter(this::failOnDeadline, delayMillis, TimeUnit.MILLISECONDS);
        connectTimer = ioThread.executeAfter(this::failOnConnectTimeout, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        client.connect(
                new ClientCallback<ClientConnection>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        opened.getIoThread().execute(() -> sendOn(opened));
                    }

                    @Override
                    public void failed(IOException failure) {
                        fail("Could not connect", failure);
                    }
                },
                target.uri(),
                ioThread,
                pool,
                STATISTICS_ENABLED);
    }

    private long millisUntilDeadline() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000L);
    }

    private void failOnConnectTimeout() {
        if (connection == null) {
            fail("Could not connect within " + CONNECT_TIMEOUT_MILLIS + " ms", null);
        }
    }

    void send(ClientConnection idle) {
        deadlineTimer =
                idle.getIoThread().executeAfter(this::failOnDeadline, millisUntilDeadline(), TimeUnit.MILLISECONDS);
        sendOn(idle);
    }

    private void sendOn(ClientConnection open) {
        bytesReadBeforeHead = open.getStatistics().getRead();
        connection = open;
        cancel(connectTimer);
        if (ended.get()) {
            owner.release(target, open, keepAliveMillis);
            return;
        }
        if (System.nanoTime() - deadlineNanos >= 0) {
            failOnDeadline();
            return;
        }
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, target.toString());
        if (call.body().length > 0 || !"GET".equals(call.method())) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        }
        call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        maybeSent = true;
        owner.headMonitor().add(this);
        open.sendRequest(request, new ClientCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseCallback());
                writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(call.body()));
            }

            @Override
            public void failed(IOException failure) {
                fail("Could not send", failure);
            }
        });
    }

    boolean isEnded() {
        return ended.get();
    }

    /**
     * Close the connection if the head of the response is too long, whereupon its I/O thread fails the call. Called by
     * the thread of the {@link ResponseHeadMonitor}.
     */
    void closeIfHeadTooLong() {
        ClientConnection open = connection;
        long headBytes = open == null ? 0 : open.getStatistics().getRead() - bytesReadBeforeHead;
        if (headBytes > MAX_HEAD_BYTES && !headReceived) {
            headTooLong = true;
            reset(open);
        }
    }

    @Override
    public void checkDeadline() {
        if (System.nanoTime() - deadlineNanos >= 0) {
            failOnDeadline();
        }
    }

    @Override
    public long unsentBytes() {
        return ended.get() ? 0 : unsentBytes;
    }

    private void writeBody(StreamSinkChannel sink, ByteBuffer body) {
        try {
            // Undertow miscounts a body of which only a part leaves together with the head, and then ends it by a
            // close.
            if (body.remaining() > MAX_BYTES_WITH_HEAD && !sink.flush()) {
                sink.getWriteSetter().set(channel -> writeBody(channel, body));
                sink.resumeWrites();
                return;
            }
            while (body.hasRemaining()) {
                int count = sink.write(body);
                unsentBytes = body.remaining();
                if (count == 0) {
                    sink.getWriteSetter().set(channel -> writeBody(channel, body));
                    sink.resumeWrites();
                    return;
                }
            }
            // A sink whose writes stay resumed would call the listener again after the end.
            sink.suspendWrites();
            sink.shutdownWrites();
            if (sink.flush()) {
                requestWritten = true;
                return;
            }
            sink.getWriteSetter()
                    .set(ChannelListeners.flushingChannelListener(
                            flushed -> {
                                flushed.suspendWrites();
                                requestWritten = true;
                            },
                            (channel, failure) -> fail("Could not send", failure)));
            sink.resumeWrites();
        } catch (IOException failure) {
            fail("Could not send", failure);
        }
    }

    private ClientCallback<ClientExchange> responseCallback() {
        return new ClientCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange exchange) {
                headReceived = true;
                owner.headMonitor().remove(UndertowExchange.this);
                Map<String, String> headers = ResponseHeaders.of(exchange);
                remainingBodyBytes = ResponseHeaders.firstNumber(headers.get("Content-Length"));
                keepAliveMillis = ResponseHeaders.firstNumber(headers.get("Keep-Alive")) * MILLIS_PER_SECOND;
                listener.onHead(exchange.getResponse().getResponseCode(), headers);
                if (ended.get()) {
                    return;
                }
                bytesReadBeforeFraming = connection.getStatistics().getRead();
                StreamSourceChannel source = exchange.getResponseChannel();
                source.getReadSetter().set(UndertowExchange.this::readBody);
                readBody(source);
            }

            @Override
            public void failed(IOException failure) {
                String tooLong = "Got a head of more than " + MAX_HEAD_BYTES + " bytes";
                fail(headTooLong ? tooLong : "Could not read the answer", failure);
            }
        };
    }

    private void readBody(StreamSourceChannel source) {
        if (awaitsTurn) {
            source.suspendReads();
            return;
        }
        if (readBuffer == null) {
            readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        }
        try {
            for (int reads = 0; !ended.get() && reads < MAX_READS_PER_TURN; reads++) {
                if (!readPart(source)) {
                    return;
                }
            }
        } catch (IOException failure) {
            fail("Could not read the answer", failure);
        }
        if (!ended.get()) {
            awaitTurn(source);
        }
    }

    /** Read one part of the body; return whether there may be more at once. */
    private boolean readPart(StreamSourceChannel source) throws IOException {
        ByteBuffer buffer = readBuffer.clear();
        int count = source.read(buffer);
        long bytesRead = connection.getStatistics().getRead();
        if (count == 0 && bytesRead - bytesReadBeforeFraming > MAX_FRAMING_BYTES) {
            fail("Got more than " + MAX_FRAMING_BYTES + " bytes of chunk sizes or trailers", null);
            return false;
        }
        if (count == 0) {
            source.resumeReads();
            return false;
        }
        bytesReadBeforeFraming = bytesRead;
        if (count < 0) {
            end();
            return false;
        }
        byte[] part = new byte[count];
        buffer.flip().get(part);
        remainingBodyBytes -= remainingBodyBytes < 0 ? 0 : count;
        listener.onBytes(part);
        return true;
    }

    private void awaitTurn(StreamSourceChannel source) {
        awaitsTurn = true;
        source.suspendReads();
        ReadTurns.ofCurrentThread().add(connection.getIoThread(), () -> {
            awaitsTurn = false;
            readBody(source);
        });
    }

    private void end() {
        if (remainingBodyBytes > 0) {
            fail("Got an answer that lacks " + remainingBodyBytes + " bytes", null);
            return;
        }
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        cancel(deadlineTimer);
        if (requestWritten) {
            owner.release(target, connection, keepAliveMillis);
        } else {
            // The server would read the rest of this request as the next one, so the connection cannot be reused.
            IoUtils.safeClose(connection);
        }
        listener.onEnd();
    }

    private static void cancel(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
    }

    private void failOnDeadline() {
        fail("Got no whole answer before the deadline", null);
    }

    private void fail(String what, Throwable cause) {
        if (ended.compareAndSet(false, true)) {
            cancel(deadlineTimer);
            cancel(connectTimer);
            owner.headMonitor().remove(this);
            reset(connection);
            String message = what + ": " + call.method() + " " + call.path() + " at " + target;
            listener.onFailure(new HttpException(message, maybeSent, cause));
        }
    }

    /**
     * Close the connection by a TCP reset, so that a server that was suspended or unreachable does not process the
     * request afterwards.
     */
    private static void reset(ClientConnection open) {
        if (open == null) {
            return;
        }
        try {
            open.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException | IllegalArgumentException unsupported) {
            logger.debug("event=close-abort-unavailable detail={}", unsupported.getMessage());
        }
        IoUtils.safeClose(open);
    }

    @Override
    public void cancel() {
        fail("Was cancelled", null);
    }
}
