package org.arbutusstack.http.client;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.arbutusstack.kernel.Assert;
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

    private static final int MOST_IDLE_CONNECTIONS = 32;

    private final XnioWorker worker;

    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);

    private final ConcurrentMap<HttpTarget, Deque<ClientConnection>> idleByTarget = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param name the prefix of its threads' names
     * @param ioThreads the number of its I/O threads
     */
    public UndertowHttpClient(String name, int ioThreads) {
        Assert.hasText(name, "name");
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

    @Override
    public Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpListener listener) {
        UndertowExchange exchange = new UndertowExchange(this, target, call, deadlineNanos, listener);
        ClientConnection idle = takeIdle(target);
        if (idle == null) {
            exchange.connect(UndertowClient.getInstance(), worker, bufferPool);
        } else {
            idle.getIoThread().execute(() -> exchange.send(idle));
        }
        return exchange;
    }

    private ClientConnection takeIdle(HttpTarget target) {
        Deque<ClientConnection> idle = idleByTarget.get(target);
        if (idle == null) {
            return null;
        }
        synchronized (idle) {
            ClientConnection connection = idle.pollLast();
            while (connection != null && !connection.isOpen()) {
                connection = idle.pollLast();
            }
            return connection;
        }
    }

    void giveBack(HttpTarget target, ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        Deque<ClientConnection> idle = idleByTarget.computeIfAbsent(target, key -> new ArrayDeque<>());
        synchronized (idle) {
            if (idle.size() < MOST_IDLE_CONNECTIONS) {
                idle.addLast(connection);
                return;
            }
        }
        org.xnio.IoUtils.safeClose(connection);
    }

    @Override
    public void forget(HttpTarget target) {
        Deque<ClientConnection> idle = idleByTarget.get(target);
        if (idle != null) {
            closeAll(idle);
        }
    }

    private static void closeAll(Deque<ClientConnection> idle) {
        synchronized (idle) {
            idle.forEach(org.xnio.IoUtils::safeClose);
            idle.clear();
        }
    }

    @Override
    public void close() {
        idleByTarget.values().forEach(UndertowHttpClient::closeAll);
        worker.shutdownNow();
    }
}
