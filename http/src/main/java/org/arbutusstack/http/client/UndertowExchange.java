package org.arbutusstack.http.client;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.arbutusstack.http.response.ResponseFormatException;
import org.arbutusstack.http.response.ResponseParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Exchange of one call and its response over one connection. What counts as a response is decided by the {@link
 * ResponseParser}; the connection of anything else is closed.
 *
 * <p>Runs on the connection's I/O thread, except for {@link #cancel()}, {@link #checkDeadline()} and {@link
 * #unsentBytes()}, which any thread may call.
 */
final class UndertowExchange implements HttpClient.Cancellable {

    private static final Logger logger = LoggerFactory.getLogger(UndertowExchange.class);

    /** Maximum number of reads in a row, after which the I/O thread serves other connections and timers. */
    private static final int MAX_READS_PER_TURN = 16;

    private static final OptionMap CONNECTION_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Timeout for opening a connection; long enough for one immediate retransmission of the SYN packet. */
    private static final long CONNECT_TIMEOUT_MILLIS = 800;

    private final UndertowHttpClient owner;

    private final HttpTarget target;

    private final HttpCall call;

    private final long deadlineNanos;

    private final HttpResponseListener listener;

    private final RequestWriter request;

    private final ResponseParser response;

    private final AtomicBoolean ended = new AtomicBoolean();

    private volatile boolean maybeSent;

    private boolean requestWritten;

    private long keepAliveMillis = -1;

    private volatile StreamConnection connection;

    private volatile XnioExecutor.Key deadlineTimer;

    private volatile XnioExecutor.Key connectTimer;

    private boolean awaitsTurn;

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
        this.request = new RequestWriter(target, call);
        this.response = new ResponseParser(call.method(), new ResponseHandler());
    }

    void connect(XnioIoThread ioThread) {
        deadlineTimer = ioThread.executeAfter(this::failOnDeadline, millisUntilDeadline(), TimeUnit.MILLISECONDS);
        connectTimer = ioThread.executeAfter(this::failOnConnectTimeout, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        ioThread.openStreamConnection(
                        new InetSocketAddress(target.address(), target.port()),
                        opened -> opened.getIoThread().execute(() -> sendOn(opened)),
                        CONNECTION_OPTIONS)
                .addNotifier(
                        new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                            @Override
                            public void handleFailed(IOException failure, Void attachment) {
                                fail("Could not connect", failure);
                            }
                        },
                        null);
    }

    private long millisUntilDeadline() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000L);
    }

    private void failOnConnectTimeout() {
        if (connection == null) {
            fail("Could not connect within " + CONNECT_TIMEOUT_MILLIS + " ms", null);
        }
    }

    void send(StreamConnection idle) {
        deadlineTimer =
                idle.getIoThread().executeAfter(this::failOnDeadline, millisUntilDeadline(), TimeUnit.MILLISECONDS);
        sendOn(idle);
    }

    private void sendOn(StreamConnection open) {
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
        maybeSent = true;
        open.getSourceChannel().setReadListener(this::readResponse);
        open.getSourceChannel().resumeReads();
        open.getSinkChannel().setWriteListener(this::writeRequest);
        writeRequest(open.getSinkChannel());
    }

    @Override
    public void checkDeadline() {
        if (System.nanoTime() - deadlineNanos >= 0) {
            failOnDeadline();
        }
    }

    @Override
    public long unsentBytes() {
        return ended.get() ? 0 : request.unsentBytes();
    }

    private void writeRequest(ConduitStreamSinkChannel sink) {
        if (ended.get()) {
            sink.suspendWrites();
            return;
        }
        try {
            requestWritten = request.write(sink);
            if (requestWritten) {
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException failure) {
            fail("Could not send", failure);
        }
    }

    private void readResponse(ConduitStreamSourceChannel source) {
        if (awaitsTurn) {
            source.suspendReads();
            return;
        }
        try (PooledByteBuffer pooled = owner.bufferPool().allocate()) {
            for (int reads = 0; !ended.get() && reads < MAX_READS_PER_TURN; reads++) {
                if (!readPart(source, pooled.getBuffer().clear())) {
                    return;
                }
            }
        } catch (ResponseFormatException malformed) {
            String message = describe("Got " + malformed.getMessage());
            fail(new MalformedResponseException(message, malformed));
        } catch (IOException failure) {
            fail("Could not read the answer", failure);
        } catch (RuntimeException failure) {
            // Otherwise the listener would wait for the rest of a response that nobody reads on.
            logger.error("event=response-handling-failed target={}", target, failure);
            fail("Could not handle the answer", failure);
        }
        if (!ended.get()) {
            awaitTurn(source);
        }
    }

    /** Read and parse what the connection holds; return whether there may be more at once. */
    private boolean readPart(ConduitStreamSourceChannel source, ByteBuffer buffer)
            throws IOException, ResponseFormatException {
        int count = source.read(buffer);
        if (count < 0) {
            endOfConnection();
            return false;
        }
        boolean mayHoldMore = !buffer.hasRemaining();
        response.parse(buffer.flip());
        if (response.isComplete()) {
            // Bytes after the end answer no request, so that the next one would get what does not belong to it.
            end(!buffer.hasRemaining() && response.keepsConnection());
            return false;
        }
        if (!mayHoldMore && !ended.get()) {
            source.resumeReads();
        }
        return mayHoldMore;
    }

    private void awaitTurn(ConduitStreamSourceChannel source) {
        awaitsTurn = true;
        source.suspendReads();
        ReadTurns.ofCurrentThread().add(connection.getIoThread(), () -> {
            awaitsTurn = false;
            readResponse(source);
        });
    }

    private void endOfConnection() {
        if (response.isCompleteAtEndOfConnection()) {
            end(false);
        } else {
            fail("Got an answer that lacks " + response.describeRest(), null);
        }
    }

    private void end(boolean reusable) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        cancel(deadlineTimer);
        if (reusable && requestWritten) {
            owner.release(target, connection, keepAliveMillis);
        } else {
            // The server would read the rest of this request, if any, as the next one.
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
        fail(new HttpException(describe(what), maybeSent, cause));
    }

    private String describe(String what) {
        return what + ": " + call.method() + " " + call.path() + " at " + target;
    }

    private void fail(HttpException failure) {
        if (ended.compareAndSet(false, true)) {
            cancel(deadlineTimer);
            cancel(connectTimer);
            reset(connection);
            listener.onFailure(failure);
        }
    }

    /**
     * Close the connection by a TCP reset, so that a server that was suspended or unreachable does not process the
     * request afterwards.
     */
    private static void reset(StreamConnection open) {
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

    /** Handler that passes the parts of the response on until the exchange ends. */
    private final class ResponseHandler implements ResponseParser.Handler {

        @Override
        public void onHead(int status, Map<String, String> headers) {
            keepAliveMillis = ResponseHeaders.firstNumber(headers.get("Keep-Alive")) * MILLIS_PER_SECOND;
            if (!ended.get()) {
                listener.onHead(status, headers);
            }
        }

        @Override
        public void onContent(byte[] bytes) {
            if (!ended.get()) {
                listener.onBytes(bytes);
            }
        }
    }
}
