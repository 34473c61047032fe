package org.arbutusstack.http.client;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.arbutusstack.kernel.Assert;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * {@link HttpClient} based on Undertow's client, which sends one call at a time on a connection and keeps idle
 * connections for reuse.
 *
 * <p>Thread-safe. Must be closed to release its threads and connections.
 *
 * @see HttpClient
 */
public final class UndertowHttpClient implements HttpClient {

    private static final int BUFFER_BYTES = 8_192;

    private final XnioWorker worker;

    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);

    private final ConcurrentMap<HttpTarget, IdleConnections> poolsByTarget = new ConcurrentHashMap<>();

    private final IdleConnectionLimits limits;

    private final boolean ownsWorker;

    private final ResponseHeadMonitor headMonitor;

    /**
     * Create a client.
     *
     * @param name the prefix of the names of its threads
     * @param ioThreads the number of I/O threads
     */
    public UndertowHttpClient(String name, int ioThreads) {
        Assert.hasText(name, "name");
        this.headMonitor = new ResponseHeadMonitor(name);
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
        this.headMonitor = new ResponseHeadMonitor("client");
    }

    @Override
    public Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpResponseListener listener) {
        UndertowExchange exchange = new UndertowExchange(this, target, call, deadlineNanos, listener);
        ClientConnection idle = call.newConnection() ? null : poolOf(target).take(call.repeatable(), System.nanoTime());
        if (idle == null) {
            exchange.connect(UndertowClient.getInstance(), worker, bufferPool);
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

    /** Return the monitor that limits the size of response heads. */
    ResponseHeadMonitor headMonitor() {
        return headMonitor;
    }

    /**
     * Return a connection to the pool of its target, if it is still open once its I/O thread has had the chance to read
     * bytes that follow the last response.
     */
    void release(HttpTarget target, ClientConnection connection, long keepAliveMillis) {
        connection.getIoThread().execute(() -> {
            if (connection.isOpen() && !poolOf(target).add(connection, keepAliveMillis, System.nanoTime())) {
                IoUtils.safeClose(connection);
            }
        });
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
        headMonitor.close();
        poolsByTarget.values().forEach(IdleConnections::closeAll);
        if (ownsWorker) {
            worker.shutdownNow();
        }
    }
}
