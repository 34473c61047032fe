package org.arbutusstack.http.loop;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.IdleConnectionLimits;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Ring;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * I/O loop with a single thread that serves callers, calls runners and decides between them, so that an event of a
 * stream is forwarded without switching threads.
 *
 * <p>Other threads submit tasks through {@link #offer}, which rejects tasks while too many are queued. Thread-safe.
 *
 * @see Ring
 */
public final class IoLoop implements Ring<Runnable>, AutoCloseable {

    private static final Logger logger = LoggerFactory.getLogger(IoLoop.class);

    private final String name;

    private final int capacity;

    private final XnioWorker worker;

    private final XnioIoThread thread;

    private final AtomicInteger queuedTasks = new AtomicInteger();

    /**
     * Create a loop and start its thread.
     *
     * @param name the name of the loop, used for its threads and in log records
     * @param capacity the maximum number of tasks that may be queued
     */
    public IoLoop(String name, int capacity) {
        this.name = Assert.hasText(name, "name");
        this.capacity = (int) Assert.atLeast(capacity, 1, "capacity");
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, name)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        try {
            this.worker = Xnio.getInstance().createWorker(options);
        } catch (IOException failure) {
            throw new HttpException("Could not start the loop '" + name + "'", false, failure);
        }
        this.thread = worker.getIoThread();
    }

    /**
     * Build a listener whose handler runs on the loop's thread.
     *
     * @param address the IP number to listen on
     * @param port the port
     * @param maxBodyBytes the maximum size of a request body
     * @param idleMillis how long a connection may wait for its next request, in milliseconds
     * @param sendBufferBytes the size of the system's send buffer of each connection; zero to let the system choose
     * @param handler the handler of the requests
     * @return the listener, not yet started
     */
    public Undertow listener(
            String address, int port, long maxBodyBytes, int idleMillis, int sendBufferBytes, HttpHandler handler) {
        return HttpServers.build(address, port, worker, maxBodyBytes, idleMillis, sendBufferBytes, handler);
    }

    /**
     * Create a client whose listeners are called on the loop's thread.
     *
     * @param limits the limits on idle connections
     * @return the client
     */
    public UndertowHttpClient client(IdleConnectionLimits limits) {
        return new UndertowHttpClient(worker, limits);
    }

    @Override
    public boolean offer(Runnable task) {
        Assert.notNull(task, "task");
        if (queuedTasks.incrementAndGet() > capacity) {
            queuedTasks.decrementAndGet();
            return false;
        }
        thread.execute(() -> {
            queuedTasks.decrementAndGet();
            runSafely(task);
        });
        return true;
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            logger.error("event=duty-failure duty={}", name, failure);
        }
    }

    /**
     * Run a task on the loop periodically, with a fixed delay between two runs.
     *
     * @param periodMillis the delay between two runs, in milliseconds
     * @param task the task to run; must not block
     */
    public void every(long periodMillis, Runnable task) {
        Assert.atLeast(periodMillis, 1, "periodMillis");
        thread.executeAfter(
                () -> {
                    try {
                        runSafely(task);
                    } finally {
                        every(periodMillis, task);
                    }
                },
                periodMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public int depth() {
        return queuedTasks.get();
    }

    @Override
    public int capacity() {
        return capacity;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
