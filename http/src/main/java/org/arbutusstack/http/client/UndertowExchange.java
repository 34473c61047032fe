package org.arbutusstack.http.client;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
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
 * Carries one call over one connection.
 *
 * <p>Runs on the connection's I/O thread, but for {@link #cancel()}, which any thread may call.
 */
final class UndertowExchange implements HttpClient.Cancellable {

    private static final Logger logger = LoggerFactory.getLogger(UndertowExchange.class);

    private static final int READ_BYTES = 8_192;

    /** Sixteen times the longest head that the users' limits name. */
    private static final long MOST_HEAD_BYTES = 256L * 1_024;

    /** Has connections count what they read. */
    private static final OptionMap COUNTING = OptionMap.create(UndertowOptions.ENABLE_STATISTICS, true);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** How long a connection may take to open; long enough for one opening packet that is sent again at once. */
    private static final long CONNECT_MILLIS = 800;

    private final UndertowHttpClient owner;

    private final HttpTarget target;

    private final HttpCall call;

    private final long deadlineNanos;

    private final HttpResponseListener listener;

    private final AtomicBoolean ended = new AtomicBoolean();

    private volatile boolean maybeSent;

    private boolean requestWritten;

    private long missingBytes = -1;

    private long keepAliveMillis = -1;

    private volatile ClientConnection connection;

    private volatile XnioExecutor.Key expiry;

    private volatile XnioExecutor.Key connectExpiry;

    /** What the connection had read before the answer. */
    private volatile long headBeganAt;

    private volatile boolean headEnded;

    private volatile boolean headTooLong;

    private ByteBuffer readBuffer;

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
    }

    void connect(UndertowClient client, XnioWorker worker, ByteBufferPool pool) {
        var ioThread = worker.getIoThread();
        long leftMillis = millisLeft();
        expiry = ioThread.executeAfter(this::expire, leftMillis, TimeUnit.MILLISECONDS);
        connectExpiry = ioThread.executeAfter(this::expireConnect, CONNECT_MILLIS, TimeUnit.MILLISECONDS);
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
                COUNTING);
    }

    private long millisLeft() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000L);
    }

    private void expireConnect() {
        if (connection == null) {
            fail("Could not connect within " + CONNECT_MILLIS + " ms", null);
        }
    }

    void send(ClientConnection idle) {
        expiry = idle.getIoThread().executeAfter(this::expire, millisLeft(), TimeUnit.MILLISECONDS);
        sendOn(idle);
    }

    private void sendOn(ClientConnection open) {
        headBeganAt = open.getStatistics().getRead();
        connection = open;
        cancel(connectExpiry);
        if (ended.get()) {
            owner.giveBack(target, open, keepAliveMillis);
            return;
        }
        if (System.nanoTime() - deadlineNanos >= 0) {
            expire();
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
        owner.headWatch().add(this);
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

    /** Closes the connection, whose I/O thread then fails the call; for the thread that watches heads. */
    void closeIfHeadTooLong() {
        ClientConnection open = connection;
        long headBytes = open == null ? 0 : open.getStatistics().getRead() - headBeganAt;
        if (headBytes > MOST_HEAD_BYTES && !headEnded) {
            headTooLong = true;
            reset(open);
        }
    }

    @Override
    public void check() {
        if (System.nanoTime() - deadlineNanos >= 0) {
            expire();
        }
    }

    private void writeBody(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> writeBody(channel, body));
                    sink.resumeWrites();
                    return;
                }
            }
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
                headEnded = true;
                owner.headWatch().leave(UndertowExchange.this);
                Map<String, String> headers = headersOf(exchange);
                missingBytes = numberIn(headers.get("Content-Length"));
                keepAliveMillis = numberIn(headers.get("Keep-Alive")) * MILLIS_PER_SECOND;
                listener.onHead(exchange.getResponse().getResponseCode(), headers);
                if (ended.get()) {
                    return;
                }
                StreamSourceChannel source = exchange.getResponseChannel();
                source.getReadSetter().set(UndertowExchange.this::readBody);
                readBody(source);
            }

            @Override
            public void failed(IOException failure) {
                String tooLong = "Got a head of more than " + MOST_HEAD_BYTES + " bytes";
                fail(headTooLong ? tooLong : "Could not read the answer", failure);
            }
        };
    }

    /** Collects the headers by name without regard to case; repeated ones are joined. */
    private static Map<String, String> headersOf(ClientExchange exchange) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            headers.put(values.getHeaderName().toString(), String.join(", ", values));
        }
        return headers;
    }

    /** Reads the first whole number of a header; negative if there is none. */
    private static long numberIn(String header) {
        String digits = header == null ? "" : header.replaceFirst("^\\D*(\\d{1,9}).*$", "$1");
        return digits.isEmpty() || !Character.isDigit(digits.charAt(0)) ? -1 : Long.parseLong(digits);
    }

    private void readBody(StreamSourceChannel source) {
        if (readBuffer == null) {
            readBuffer = ByteBuffer.allocate(READ_BYTES);
        }
        ByteBuffer buffer = readBuffer;
        try {
            while (!ended.get()) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    end();
                    return;
                }
                byte[] part = new byte[count];
                buffer.flip().get(part);
                missingBytes -= missingBytes < 0 ? 0 : count;
                listener.onBytes(part);
            }
        } catch (IOException failure) {
            fail("Could not read the answer", failure);
        }
    }

    private void end() {
        if (missingBytes > 0) {
            fail("Got an answer that lacks " + missingBytes + " bytes", null);
            return;
        }
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        cancel(expiry);
        if (requestWritten) {
            owner.giveBack(target, connection, keepAliveMillis);
        } else {
            // The rest of the request would be read as the next one.
            IoUtils.safeClose(connection);
        }
        listener.onEnd();
    }

    private static void cancel(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
    }

    private void expire() {
        fail("Got no whole answer before the deadline", null);
    }

    private void fail(String what, Throwable cause) {
        if (ended.compareAndSet(false, true)) {
            cancel(expiry);
            cancel(connectExpiry);
            owner.headWatch().leave(this);
            reset(connection);
            String message = what + ": " + call.method() + " " + call.path() + " at " + target;
            listener.onFailure(new HttpException(message, maybeSent, cause));
        }
    }

    /** Closes by a reset, so that a server which was frozen or cut off does not read the request afterwards. */
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
