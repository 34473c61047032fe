package org.arbutusstack.ledger;

import org.arbutusstack.kernel.time.Clock;

/**
 * Gives each call of one operation a deadline of its own within that of the operation.
 *
 * <p>The time for a call doubles with each failure, so that a silent connection costs little and a slow service is
 * still heard. Used by one thread.
 */
final class Retry {

    private static final long FIRST_CALL_MILLIS = 1_000;

    private static final long FIRST_PAUSE_MILLIS = 25;

    private static final long LONGEST_PAUSE_MILLIS = 400;

    private final Clock clock;

    private final long deadlineNanos;

    private long callMillis = FIRST_CALL_MILLIS;

    private long pauseMillis = FIRST_PAUSE_MILLIS;

    private int failures;

    private boolean corrupt;

    Retry(Clock clock, long deadlineNanos) {
        this.clock = clock;
        this.deadlineNanos = deadlineNanos;
    }

    boolean isOver() {
        return clock.isPast(deadlineNanos);
    }

    long callDeadlineNanos() {
        long own = clock.deadlineNanos(callMillis);
        return own - deadlineNanos < 0 ? own : deadlineNanos;
    }

    int failures() {
        return failures;
    }

    /** Remembers that something read contradicts its digest. */
    void readCorrupt() {
        corrupt = true;
    }

    boolean hasReadCorrupt() {
        return corrupt;
    }

    /** Waits before the next call, longer after each failure. */
    void failed() {
        failures++;
        callMillis *= 2;
        clock.pause(Math.min(pauseMillis, clock.millisUntil(deadlineNanos)));
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }
}
