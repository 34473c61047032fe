package org.arbutusstack.kernel.time;

import java.util.concurrent.locks.LockSupport;

/**
 * Tells the time of this process.
 *
 * <p>Deadlines are instants of {@link #nowNanos()}; hosts' clocks are never compared with each other. Implementations
 * are safe for use by any thread.
 *
 * @see SystemClock
 * @see ManualClock
 */
public interface Clock {

    /** Nanoseconds in one millisecond. */
    long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Tells the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin of this process
     */
    long nowNanos();

    /**
     * Tells the wall-clock time, for records that people read.
     *
     * @return milliseconds since the epoch
     */
    long wallMillis();

    /**
     * Tells the instant that lies a number of milliseconds ahead.
     *
     * @param millis the milliseconds from now
     * @return the instant in nanoseconds of {@link #nowNanos()}
     */
    default long deadlineNanos(long millis) {
        return nowNanos() + millis * NANOS_PER_MILLI;
    }

    /**
     * Tells the time left before a deadline.
     *
     * @param deadlineNanos an instant of {@link #nowNanos()}
     * @return the milliseconds left, zero when the deadline has passed
     */
    default long millisUntil(long deadlineNanos) {
        return Math.max(0, (deadlineNanos - nowNanos()) / NANOS_PER_MILLI);
    }

    /**
     * Tells whether a deadline has passed.
     *
     * @param deadlineNanos an instant of {@link #nowNanos()}
     * @return whether it has passed
     */
    default boolean isPast(long deadlineNanos) {
        return nowNanos() - deadlineNanos >= 0;
    }

    /**
     * Lets time pass in the calling thread.
     *
     * @param millis the milliseconds to wait
     */
    default void pause(long millis) {
        LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    }
}
