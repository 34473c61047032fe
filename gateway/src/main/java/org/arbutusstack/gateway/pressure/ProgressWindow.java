package org.arbutusstack.gateway.pressure;

import org.arbutusstack.kernel.time.Clock;

/** Count of the bytes that moved within the last one to two seconds. Confined to one thread. */
final class ProgressWindow {

    /** Half of the least time that callers wait for an answer. */
    static final long WINDOW_MILLIS = 1_000;

    private final Clock clock;

    private final long openedAtNanos;

    private long windowEndNanos;

    private long currentBytes;

    private long previousBytes;

    private long movedAtNanos;

    ProgressWindow(Clock clock) {
        this.clock = clock;
        this.openedAtNanos = clock.nowNanos();
        this.movedAtNanos = openedAtNanos;
        this.windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    void moved(long bytes) {
        if (bytes > 0) {
            roll();
            currentBytes += bytes;
            movedAtNanos = clock.nowNanos();
        }
    }

    /** Return the bytes of the current window and of the one before. */
    long recentBytes() {
        roll();
        return previousBytes + currentBytes;
    }

    private void roll() {
        if (!clock.isPast(windowEndNanos)) {
            return;
        }
        boolean adjacent = !clock.isPast(windowEndNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI);
        previousBytes = adjacent ? currentBytes : 0;
        currentBytes = 0;
        windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    long ageMillis() {
        return clock.millisSince(openedAtNanos);
    }

    long millisSinceMoved() {
        return clock.millisSince(movedAtNanos);
    }
}
