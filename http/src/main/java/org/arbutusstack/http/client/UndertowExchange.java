package org.arbutusstack.http.client;

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
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Carries one call over one connection.
 *
 * <p>Runs on the connection's I/O thread, but for {@link #cancel()}, which any thread may call.
 */
final class UndertowExchange implements HttpClient.Cancellable {

    private static final int READ_BYTES = 8_192;

    private final UndertowHttpClient owner;

    private final HttpTarget target;

    private final HttpCall call;

    private final long deadlineNanos;

    private final HttpListener listener;

    private final AtomicBoolean ended = new AtomicBoolean();

    private volatile boolean maybeSent;

    private volatile ClientConnection connection;

    UndertowExchange(
            UndertowHttpClient owner, HttpTarget target, HttpCall call, long deadlineNanos, HttpListener listener) {
        this.owner = owner;
        this.target = target;
        this.call = call;
        this.deadlineNanos = deadlineNanos;
        this.listener = listener;
    }

    void connect(UndertowClient client, XnioWorker worker, ByteBufferPool pool) {
        var ioThread = worker.getIoThread();
        long leftMillis = millisLeft();
        ioThread.executeAfter(this::expire, leftMillis, TimeUnit.MILLISECONDS);
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
                OptionMap.EMPTY);
    }

    private long millisLeft() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000L);
    }

    void send(ClientConnection idle) {
        idle.getIoThread().executeAfter(this::expire, millisLeft(), TimeUnit.MILLISECONDS);
        sendOn(idle);
    }

    private void sendOn(ClientConnection open) {
        connection = open;
        if (ended.get()) {
            owner.giveBack(target, open);
            return;
        }
        if (System.nanoTime() - deadlineNanos >= 0) {
            expire();
            return;
        }
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, target.toString());
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        maybeSent = true;
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
            if (!sink.flush()) {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(
                                flushed -> flushed.suspendWrites(),
                                (channel, failure) -> fail("Could not send", failure)));
                sink.resumeWrites();
            }
        } catch (IOException failure) {
            fail("Could not send", failure);
        }
    }

    private ClientCallback<ClientExchange> responseCallback() {
        return new ClientCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange exchange) {
                listener.onHead(exchange.getResponse().getResponseCode(), headersOf(exchange));
                StreamSourceChannel source = exchange.getResponseChannel();
                source.getReadSetter().set(UndertowExchange.this::readBody);
                readBody(source);
            }

            @Override
            public void failed(IOException failure) {
                fail("Could not read the answer", failure);
            }
        };
    }

    private static Map<String, String> headersOf(ClientExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            headers.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), values.getFirst());
        }
        return headers;
    }

    private void readBody(StreamSourceChannel source) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
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
                listener.onBytes(part);
            }
        } catch (IOException failure) {
            fail("Could not read the answer", failure);
        }
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            owner.giveBack(target, connection);
            listener.onEnd();
        }
    }

    private void expire() {
        fail("Got no whole answer before the deadline", null);
    }

    private void fail(String what, Throwable cause) {
        if (ended.compareAndSet(false, true)) {
            IoUtils.safeClose(connection);
            String message = what + ": " + call.method() + " " + call.path() + " at " + target;
            listener.onFailure(new HttpException(message, maybeSent, cause));
        }
    }

    @Override
    public void cancel() {
        fail("Was cancelled", null);
    }
}
