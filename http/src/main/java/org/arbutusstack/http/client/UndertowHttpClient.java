package org.arbutusstack.http.client;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.arbutusstack.kernel.Assert;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * {@link HttpClient} based on XNIO, the I/O layer of Undertow, which sends one call at a time on a connection and keeps
 * idle connections for reuse.
 *
 * <p>Undertow's own client is not used: its parser accepts bytes that are no response, and does not show them.
 *
 * <p>Thread-safe. Must be closed to release its threads and connections.
 *
 * @see HttpClient
 */
public final class UndertowHttpClient implements HttpClient {

    private static final Logger logger = LoggerFactory.getLogger(UndertowHttpClient.class);

    private static final int BUFFER_BYTES = 8_192;

    private final XnioWorker worker;

    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);

    private final ConcurrentMap<HttpTarget, IdleConnections> poolsByTarget = new ConcurrentHashMap<>();

    private final IdleConnectionLimits limits;

    private final boolean ownsWorker;

    /**
     * Create a client.
     *
     * @param name the prefix of the names of its threads
     * @param ioThreads the number of I/O threads
     */
    public UndertowHttpClient(String name, int ioThreads) {
        Assert.hasText(name, "name");
        this.limits = IdleConnectionLimits.UNLIMITED_AGE;
        this.ownsWorker = true;
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, name)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        try {
            this.worker = Xnio.getInstance().createWorker(options);
        } catch (IOException failure) {
            throw new HttpException("Could not start the HTTP client '" + name + "'", false, failure);
        }
    }

    /**
     * Create a client that shares its I/O threads with others.
     *
     * @param worker the worker with the shared threads, which closing the client does not stop
     * @param limits the limits on idle connections
     */
    public UndertowHttpClient(XnioWorker worker, IdleConnectionLimits limits) {
        this.worker = Assert.notNull(worker, "worker");
        this.limits = Assert.notNull(limits, "limits");
        this.ownsWorker = false;
    }

    @Override
    public Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpResponseListener listener) {
        UndertowExchange exchange = new UndertowExchange(this, target, call, deadlineNanos, listener);
        StreamConnection idle = call.newConnection() ? null : poolOf(target).take(call.repeatable(), System.nanoTime());
        if (idle == null) {
            exchange.connect(worker.getIoThread());
        } else if (idle.getIoThread() == Thread.currentThread()) {
            exchange.send(idle);
        } else {
            idle.getIoThread().execute(() -> exchange.send(idle));
        }
        return exchange;
    }

    private IdleConnections poolOf(HttpTarget target) {
        return poolsByTarget.computeIfAbsent(target, key -> new IdleConnections(limits));
    }

    /** Return the pool of the buffers that responses are read into. */
    ByteBufferPool bufferPool() {
        return bufferPool;
    }

    /**
     * Return a connection to the pool of its target, if it is still open once it was read for bytes that follow the
     * last response. Called on its I/O thread.
     */
    void release(HttpTarget target, StreamConnection connection, long keepAliveMillis) {
        connection.getSourceChannel().setReadListener(source -> closeOnInput(connection, source));
        connection.getSourceChannel().wakeupReads();
        connection.getIoThread().execute(() -> {
            if (connection.isOpen() && !poolOf(target).add(connection, keepAliveMillis, System.nanoTime())) {
                IoUtils.safeClose(connection);
            }
        });
    }

    /** Close an idle connection that its server has closed, or on which bytes arrive that no call asked for. */
    private static void closeOnInput(StreamConnection connection, ConduitStreamSourceChannel source) {
        try {
            if (source.read(ByteBuffer.allocate(1)) != 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException broken) {
            logger.debug("event=idle-connection-broken detail={}", broken.getMessage());
            IoUtils.safeClose(connection);
        }
    }

    @Override
    public void closeIdleConnections(HttpTarget target) {
        IdleConnections idle = poolsByTarget.remove(target);
        if (idle != null) {
            idle.closeAll();
        }
    }

    @Override
    public void close() {
        poolsByTarget.values().forEach(IdleConnections::closeAll);
        if (ownsWorker) {
            worker.shutdownNow();
        }
    }
}
