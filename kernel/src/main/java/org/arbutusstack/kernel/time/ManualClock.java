package org.arbutusstack.kernel.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Moves only when told to, so that code depending on time runs the same way each time.
 *
 * <p>Used by tests and by runs of the decision code under virtual time. Safe for use by any thread.
 *
 * @see Clock
 */
public final class ManualClock implements Clock {

    private final AtomicLong nanos;

    /** Creates a clock that stands at zero. */
    public ManualClock() {
        this(0);
    }

    /**
     * Creates a clock that stands at an instant.
     *
     * @param startNanos the instant in nanoseconds
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
        return nanos.get() / NANOS_PER_MILLI;
    }

    /** Moves the clock ahead in place of waiting. */
    @Override
    public void pause(long millis) {
        advanceMillis(millis);
    }

    /**
     * Moves the clock ahead.
     *
     * @param millis the milliseconds to move by
     */
    public void advanceMillis(long millis) {
        nanos.addAndGet(millis * NANOS_PER_MILLI);
    }

    /**
     * Moves the clock ahead.
     *
     * @param advanceNanos the nanoseconds to move by
     */
    public void advanceNanos(long advanceNanos) {
        nanos.addAndGet(advanceNanos);
    }
}
