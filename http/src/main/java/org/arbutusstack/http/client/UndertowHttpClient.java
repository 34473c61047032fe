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
 * Sends calls through Undertow's client, one call at a time on a connection, and keeps idle connections for reuse.
 *
 * <p>Safe for use by any thread. Close it to free its threads and connections.
 *
 * @see HttpClient
 */
public final class UndertowHttpClient implements HttpClient {

    private static final int BUFFER_BYTES = 8_192;

    private final XnioWorker worker;

    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);

    private final ConcurrentMap<HttpTarget, IdleConnections> idleByTarget = new ConcurrentHashMap<>();

    private final IdleConnectionLimits limits;

    private final boolean ownsWorker;

    private final HeadWatch headWatch;

    /**
     * Creates a client.
     *
     * @param name the prefix of its threads' names
     * @param ioThreads the number of its I/O threads
     */
    public UndertowHttpClient(String name, int ioThreads) {
        Assert.hasText(name, "name");
        this.headWatch = new HeadWatch(name);
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
     * Creates a client whose calls run on threads that it shares with others.
     *
     * @param worker the threads; they outlive the client
     * @param limits bounds the connections kept
     */
    public UndertowHttpClient(XnioWorker worker, IdleConnectionLimits limits) {
        this.worker = Assert.notNull(worker, "worker");
        this.limits = Assert.notNull(limits, "limits");
        this.ownsWorker = false;
        this.headWatch = new HeadWatch("client");
    }

    @Override
    public Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpResponseListener listener) {
        UndertowExchange exchange = new UndertowExchange(this, target, call, deadlineNanos, listener);
        ClientConnection idle = idleOf(target).take(call.repeatable(), System.nanoTime());
        if (idle == null) {
            exchange.connect(UndertowClient.getInstance(), worker, bufferPool);
        } else if (idle.getIoThread() == Thread.currentThread()) {
            exchange.send(idle);
        } else {
            idle.getIoThread().execute(() -> exchange.send(idle));
        }
        return exchange;
    }

    private IdleConnections idleOf(HttpTarget target) {
        return idleByTarget.computeIfAbsent(target, key -> new IdleConnections(limits));
    }

    /** Tells who looks after answers whose head has not ended. */
    HeadWatch headWatch() {
        return headWatch;
    }

    /** Keeps a connection for the next call, once it has shown that no more bytes follow the last answer. */
    void giveBack(HttpTarget target, ClientConnection connection, long keepAliveMillis) {
        connection.getIoThread().execute(() -> {
            if (connection.isOpen() && !idleOf(target).add(connection, keepAliveMillis, System.nanoTime())) {
                IoUtils.safeClose(connection);
            }
        });
    }

    @Override
    public void closeIdleConnections(HttpTarget target) {
        IdleConnections idle = idleByTarget.remove(target);
        if (idle != null) {
            idle.closeAll();
        }
    }

    @Override
    public void close() {
        headWatch.close();
        idleByTarget.values().forEach(IdleConnections::closeAll);
        if (ownsWorker) {
            worker.shutdownNow();
        }
    }
}
