package org.arbutusstack.kernel.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * {@link Clock} that advances only on request, so that time-dependent code runs deterministically.
 *
 * <p>Used by tests and by runs of the decision code in virtual time. Thread-safe.
 *
 * @see Clock
 */
public final class ManualClock implements Clock {

    private final AtomicLong nanos;

    /** Time by which the wall clock is ahead of the monotonic one. */
    private final AtomicLong wallAheadMillis = new AtomicLong();

    /** Create a clock whose current time is zero. */
    public ManualClock() {
        this(0);
    }

    /**
     * Create a clock with an initial time.
     *
     * @param startNanos the initial time in nanoseconds
     */
    public ManualClock(long startNanos) {
        this.nanos = new AtomicLong(startNanos);
    }

    @Override
    public long nowNanos() {
        return nanos.get();
    }

    @Override
    public long wallMillis() {
        return nanos.get() / NANOS_PER_MILLI + wallAheadMillis.get();
    }

    /** Advance the clock instead of waiting. */
    @Override
    public void pause(long millis) {
        advanceMillis(millis);
    }

    /**
     * Advance the clock by milliseconds.
     *
     * @param millis the time to advance by, in milliseconds
     */
    public void advanceMillis(long millis) {
        nanos.addAndGet(millis * NANOS_PER_MILLI);
    }

    /**
     * Advance the clock by nanoseconds.
     *
     * @param advanceNanos the time to advance by, in nanoseconds
     */
    public void advanceNanos(long advanceNanos) {
        nanos.addAndGet(advanceNanos);
    }

    /**
     * Move the wall clock alone: forward as in a suspension of the host, or back as when it is set.
     *
     * @param millis the time to move it by, in milliseconds; negative to set it back
     */
    public void moveWallMillis(long millis) {
        wallAheadMillis.addAndGet(millis);
    }
}
