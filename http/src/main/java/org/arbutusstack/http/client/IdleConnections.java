package org.arbutusstack.http.client;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;

/** Keeps the idle connections of one target, the one used last first. Safe for use by any thread. */
final class IdleConnections {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final IdleConnectionLimits limits;

    private final Deque<Idle> idle = new ArrayDeque<>();

    IdleConnections(IdleConnectionLimits limits) {
        this.limits = limits;
    }

    /** Takes the connection used last, or returns null if none is recent enough. */
    synchronized ClientConnection take(boolean repeatable, long nowNanos) {
        dropOld(nowNanos);
        Idle last = idle.pollLast();
        while (last != null && !last.connection().isOpen()) {
            last = idle.pollLast();
        }
        if (last == null) {
            return null;
        }
        boolean fresh = nowNanos - last.sinceNanos() < freshNanos(last);
        if (repeatable || fresh) {
            return last.connection();
        }
        idle.addLast(last);
        return null;
    }

    private long freshNanos(Idle entry) {
        long announcedNanos = (entry.usableUntilNanos() - entry.sinceNanos()) / 2;
        return Math.min(limits.freshIdleMillis() * NANOS_PER_MILLI, announcedNanos);
    }

    private void dropOld(long nowNanos) {
        while (!idle.isEmpty() && nowNanos - idle.peekFirst().usableUntilNanos() >= 0) {
            IoUtils.safeClose(idle.pollFirst().connection());
        }
        idle.removeIf(entry -> isPast(entry, nowNanos));
    }

    private static boolean isPast(Idle entry, long nowNanos) {
        boolean past = nowNanos - entry.usableUntilNanos() >= 0;
        if (past) {
            IoUtils.safeClose(entry.connection());
        }
        return past;
    }

    /** Keeps a connection; the time for which its server keeps it idle is negative if the server did not say. */
    synchronized boolean add(ClientConnection connection, long keepAliveMillis, long nowNanos) {
        if (idle.size() >= limits.mostIdle()) {
            return false;
        }
        long keptMillis = keepAliveMillis < 0
                ? limits.longestIdleMillis()
                : Math.min(keepAliveMillis * 3 / 4, limits.longestIdleMillis());
        idle.addLast(new Idle(connection, nowNanos, nowNanos + keptMillis * NANOS_PER_MILLI));
        return true;
    }

    synchronized void closeAll() {
        idle.forEach(entry -> IoUtils.safeClose(entry.connection()));
        idle.clear();
    }

    /** Holds an idle connection and since when it is idle. */
    private record Idle(ClientConnection connection, long sinceNanos, long usableUntilNanos) {}
}
