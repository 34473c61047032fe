package org.arbutusstack.kernel.time;

/**
 * Reading of the monotonic clock and the wall clock at one instant.
 *
 * <p>The monotonic clock stands still while the host is suspended, and the wall clock can be set. The elapsed time is
 * therefore the larger step of the two, and a wall clock that was set back shows in their offset. The monotonic clock
 * is read before and after the wall clock, so that a thread that is descheduled between the readings does not look
 * like a clock that was set.
 *
 * @param firstNanos the monotonic time before the wall clock was read
 * @param wallMillis the wall-clock time, rounded down
 * @param lastNanos the monotonic time after the wall clock was read
 */
public record ClockReading(long firstNanos, long wallMillis, long lastNanos) {

    /**
     * Read the clocks.
     *
     * @param clock the clock of the process
     * @return the reading
     */
    public static ClockReading of(Clock clock) {
        return new ClockReading(clock.nowNanos(), clock.wallMillis(), clock.nowNanos());
    }

    /**
     * Return an upper bound of the time elapsed since an earlier reading, including the time for which the host was
     * suspended.
     *
     * @param earlier the earlier reading
     * @return the bound in nanoseconds
     */
    public long nanosSince(ClockReading earlier) {
        long wallNanos = (wallMillis + 1 - earlier.wallMillis) * Clock.NANOS_PER_MILLI;
        return Math.max(lastNanos - earlier.firstNanos, wallNanos);
    }

    /**
     * Return the smallest possible offset of the wall clock from the monotonic clock.
     *
     * @return the offset in nanoseconds
     */
    public long minOffsetNanos() {
        return wallMillis * Clock.NANOS_PER_MILLI - lastNanos;
    }

    /**
     * Return the largest possible offset of the wall clock from the monotonic clock.
     *
     * @return the offset in nanoseconds
     */
    public long maxOffsetNanos() {
        return (wallMillis + 1) * Clock.NANOS_PER_MILLI - firstNanos;
    }
}
