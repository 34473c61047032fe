package org.arbutusstack.kernel.time;

import java.util.concurrent.locks.LockSupport;

/**
 * Source of time for a process.
 *
 * <p>Deadlines are instants of {@link #nowNanos()}; the clocks of different hosts are never compared with each other.
 * Implementations are thread-safe.
 *
 * @see SystemClock
 * @see ManualClock
 */
public interface Clock {

    /** The number of nanoseconds in a millisecond. */
    long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Return the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin of this process
     */
    long nowNanos();

    /**
     * Return the wall-clock time, for records that people read.
     *
     * @return milliseconds since the epoch
     */
    long wallMillis();

    /**
     * Return the instant a number of milliseconds from now.
     *
     * @param millis the milliseconds from now
     * @return the instant in nanoseconds of {@link #nowNanos()}
     */
    default long deadlineNanos(long millis) {
        return nowNanos() + millis * NANOS_PER_MILLI;
    }

    /**
     * Return the time remaining until a deadline.
     *
     * @param deadlineNanos an instant of {@link #nowNanos()}
     * @return the remaining milliseconds, zero if the deadline has passed
     */
    default long millisUntil(long deadlineNanos) {
        return Math.max(0, (deadlineNanos - nowNanos()) / NANOS_PER_MILLI);
    }

    /**
     * Return the time elapsed since an instant.
     *
     * @param instantNanos an instant of {@link #nowNanos()}
     * @return the elapsed milliseconds, zero if the instant is in the future
     */
    default long millisSince(long instantNanos) {
        return Math.max(0, (nowNanos() - instantNanos) / NANOS_PER_MILLI);
    }

    /**
     * Return whether a deadline has passed.
     *
     * @param deadlineNanos an instant of {@link #nowNanos()}
     * @return {@code true} if the deadline has been reached
     */
    default boolean isPast(long deadlineNanos) {
        return nowNanos() - deadlineNanos >= 0;
    }

    /**
     * Pause the calling thread; it may resume early if it is interrupted or unparked.
     *
     * @param millis the time to wait, in milliseconds
     */
    default void pause(long millis) {
        LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    }
}
