package org.arbutusstack.http.client;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Monitor that limits the size of response heads while they are received, on a thread of its own.
 *
 * <p>The client's parser limits neither the length of the lines of a head nor their number, and a server that sends
 * faster than the client reads keeps the I/O thread within the parser, so that the timers of that thread do not run.
 * Thread-safe.
 */
final class ResponseHeadMonitor implements AutoCloseable {

    /** The time in which a server can send a few megabytes over the loopback interface. */
    private static final long CHECK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Set<UndertowExchange> exchanges = ConcurrentHashMap.newKeySet();

    private final Thread thread;

    private volatile boolean closed;

    ResponseHeadMonitor(String name) {
        this.thread = new Thread(this::run, name + "-head-watch");
        this.thread.setDaemon(true);
        this.thread.start();
    }

    /** Monitor an exchange until {@link #remove} is called for it. */
    void add(UndertowExchange exchange) {
        boolean wasIdle = exchanges.isEmpty();
        exchanges.add(exchange);
        if (exchange.isEnded()) {
            // The exchange was cancelled concurrently, and may have called remove() before it was added.
            exchanges.remove(exchange);
        } else if (wasIdle) {
            LockSupport.unpark(thread);
        }
    }

    boolean isIdle() {
        return exchanges.isEmpty();
    }

    void remove(UndertowExchange exchange) {
        exchanges.remove(exchange);
    }

    private void run() {
        while (!closed) {
            if (exchanges.isEmpty()) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, CHECK_PERIOD_NANOS);
                exchanges.forEach(UndertowExchange::closeIfHeadTooLong);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
