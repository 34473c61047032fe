package org.arbutusstack.store;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * A token bucket that limits the rate of calls while keys change continuously, by the time for which changes are
 * batched before the next call.
 *
 * <p>A burst of calls is permitted, so that a restarted process soon reads everything that registers again. In a fleet
 * whose keys change many times a second, each call would otherwise return a single change; the long-term rate is one
 * call per period. Performs no I/O. Not thread-safe.
 */
final class PollRateLimiter {

    /** The maximum number of calls in a burst; about the number of changes that a starting runner makes. */
    private static final double MAX_TOKENS = 6;

    /** The pause between the calls of a burst; several response times of the service. */
    private static final long BURST_PAUSE_MILLIS = 100;

    private final Clock clock;

    private final long periodMillis;

    private double tokens = MAX_TOKENS;

    private long refilledAtNanos;

    PollRateLimiter(long periodMillis, Clock clock) {
        this.periodMillis = Assert.atLeast(periodMillis, 0, "periodMillis");
        this.clock = Assert.notNull(clock, "clock");
        this.refilledAtNanos = clock.nowNanos();
    }

    /** Return the pause after a call that returned changes, in milliseconds, and take a token from the bucket. */
    long pauseMillis() {
        if (periodMillis <= BURST_PAUSE_MILLIS) {
            return periodMillis;
        }
        long nowNanos = clock.nowNanos();
        double refill = (nowNanos - refilledAtNanos) / (double) Clock.NANOS_PER_MILLI / periodMillis;
        tokens = Math.min(MAX_TOKENS, tokens + refill) - 1;
        refilledAtNanos = nowNanos;
        return tokens >= 0 ? BURST_PAUSE_MILLIS : periodMillis;
    }
}
