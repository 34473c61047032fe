package org.arbutusstack.gateway.allotment;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Time that also passes while the host is suspended: the monotonic clock, plus the steps by which the wall clock has
 * gone ahead of it. Used for the ends of what is valid for a limited time, which are early at worst. Thread-safe.
 */
final class ElapsedTime {

    /** Step above which the wall clock counts as having gone ahead; larger than the resolution of both clocks. */
    private static final long MIN_STEP_MILLIS = 20;

    private final Clock clock;

    private long aheadMillis;

    private long suspendedNanos;

    ElapsedTime(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.aheadMillis = wallAheadMillis();
    }

    private long wallAheadMillis() {
        return clock.wallMillis() - clock.nowNanos() / Clock.NANOS_PER_MILLI;
    }

    /** Return the elapsed time in nanoseconds since an arbitrary origin. */
    synchronized long nowNanos() {
        long stepMillis = wallAheadMillis() - aheadMillis;
        if (stepMillis > MIN_STEP_MILLIS) {
            suspendedNanos += stepMillis * Clock.NANOS_PER_MILLI;
        }
        if (stepMillis > MIN_STEP_MILLIS || stepMillis < 0) {
            aheadMillis += stepMillis;
        }
        return clock.nowNanos() + suspendedNanos;
    }
}
