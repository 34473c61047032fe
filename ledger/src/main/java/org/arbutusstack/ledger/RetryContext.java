package org.arbutusstack.ledger;

import org.arbutusstack.kernel.time.Clock;

/**
 * The retry state of one operation: the timeout of each call, within the deadline of the operation, and the backoff.
 *
 * <p>The timeout of a call doubles with each failure, so that an unresponsive connection costs little time at first and
 * a slow service can still respond in time. Not thread-safe.
 */
final class RetryContext {

    private static final long INITIAL_CALL_TIMEOUT_MILLIS = 1_000;

    private static final long INITIAL_PAUSE_MILLIS = 25;

    private static final long MAX_PAUSE_MILLIS = 400;

    private final Clock clock;

    private final long deadlineNanos;

    private long callTimeoutMillis = INITIAL_CALL_TIMEOUT_MILLIS;

    private long pauseMillis = INITIAL_PAUSE_MILLIS;

    private int failures;

    private boolean corruptRead;

    RetryContext(Clock clock, long deadlineNanos) {
        this.clock = clock;
        this.deadlineNanos = deadlineNanos;
    }

    boolean isExpired() {
        return clock.isPast(deadlineNanos);
    }

    long callDeadlineNanos() {
        long callDeadlineNanos = clock.deadlineNanos(callTimeoutMillis);
        return callDeadlineNanos - deadlineNanos < 0 ? callDeadlineNanos : deadlineNanos;
    }

    int failures() {
        return failures;
    }

    /** Record that a value read from the key-value service does not match its digest. */
    void markCorruptRead() {
        corruptRead = true;
    }

    boolean hasCorruptRead() {
        return corruptRead;
    }

    /** Record a failure and wait before the next call, longer after each failure. */
    void backOff() {
        failures++;
        callTimeoutMillis *= 2;
        clock.pause(Math.min(pauseMillis, clock.millisUntil(deadlineNanos)));
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
    }
}
