package org.arbutusstack.http.client;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Looks after answers whose head has not ended, on a thread of its own.
 *
 * <p>The client's parser bounds neither the lines of a head nor their number, and a server that sends faster than it is
 * read keeps the I/O thread within the parser, so that no timer of that thread runs. Safe for use by any thread.
 */
final class HeadWatch implements AutoCloseable {

    /** The time in which a server sends a few megabytes over loopback. */
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Set<UndertowExchange> awaited = ConcurrentHashMap.newKeySet();

    private final Thread thread;

    private volatile boolean closed;

    HeadWatch(String name) {
        this.thread = new Thread(this::run, name + "-head-watch");
        this.thread.setDaemon(true);
        this.thread.start();
    }

    /** Looks after an exchange until {@link #leave} is called for it. */
    void add(UndertowExchange exchange) {
        boolean wasIdle = awaited.isEmpty();
        awaited.add(exchange);
        if (exchange.isEnded()) {
            // It was cancelled meanwhile and has left before it came.
            awaited.remove(exchange);
        } else if (wasIdle) {
            LockSupport.unpark(thread);
        }
    }

    boolean isIdle() {
        return awaited.isEmpty();
    }

    void leave(UndertowExchange exchange) {
        awaited.remove(exchange);
    }

    private void run() {
        while (!closed) {
            if (awaited.isEmpty()) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, PERIOD_NANOS);
                awaited.forEach(UndertowExchange::closeIfHeadTooLong);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
