package org.arbutusstack.http.client;

import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** Pool of the idle connections of one target, which returns the most recently used one first. Thread-safe. */
final class IdleConnections {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final IdleConnectionLimits limits;

    private final Deque<Idle> idle = new ArrayDeque<>();

    IdleConnections(IdleConnectionLimits limits) {
        this.limits = limits;
    }

    /**
     * Remove and return the most recently used open connection, or return {@code null} if there is none. A call that is
     * not repeatable gets a connection only if it has been idle for a short time.
     */
    synchronized StreamConnection take(boolean repeatable, long nowNanos) {
        closeExpired(nowNanos);
        Idle last = idle.pollLast();
        while (last != null && !last.connection().isOpen()) {
            last = idle.pollLast();
        }
        if (last == null) {
            return null;
        }
        boolean fresh = nowNanos - last.idleSinceNanos() < maxFreshNanos(last);
        if (repeatable || fresh) {
            return last.connection();
        }
        idle.addLast(last);
        return null;
    }

    private long maxFreshNanos(Idle entry) {
        long halfUsableNanos = (entry.usableUntilNanos() - entry.idleSinceNanos()) / 2;
        return Math.min(limits.freshIdleMillis() * NANOS_PER_MILLI, halfUsableNanos);
    }

    private void closeExpired(long nowNanos) {
        while (!idle.isEmpty() && nowNanos - idle.peekFirst().usableUntilNanos() >= 0) {
            IoUtils.safeClose(idle.pollFirst().connection());
        }
        idle.removeIf(entry -> closeIfExpired(entry, nowNanos));
    }

    private static boolean closeIfExpired(Idle entry, long nowNanos) {
        boolean expired = nowNanos - entry.usableUntilNanos() >= 0;
        if (expired) {
            IoUtils.safeClose(entry.connection());
        }
        return expired;
    }

    /**
     * Add an idle connection unless the pool is full. The keep-alive time of the server is negative if the server did
     * not announce one; otherwise the connection is used for three quarters of it.
     */
    synchronized boolean add(StreamConnection connection, long keepAliveMillis, long nowNanos) {
        if (idle.size() >= limits.maxIdleConnections()) {
            return false;
        }
        long usableMillis = keepAliveMillis < 0
                ? limits.maxIdleMillis()
                : Math.min(keepAliveMillis * 3 / 4, limits.maxIdleMillis());
        idle.addLast(new Idle(connection, nowNanos, nowNanos + usableMillis * NANOS_PER_MILLI));
        return true;
    }

    synchronized void closeAll() {
        idle.forEach(entry -> IoUtils.safeClose(entry.connection()));
        idle.clear();
    }

    /** Idle connection with the instants at which it became idle and until which it may be used. */
    private record Idle(StreamConnection connection, long idleSinceNanos, long usableUntilNanos) {}
}
