package org.arbutusstack.kernel.log;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Rate limiter for log records that admits a fixed number per second and counts the suppressed ones.
 *
 * <p>Use one instance for each kind of record that can flood the log: call {@link #tryAcquire()} before logging, and
 * add {@link #takeSuppressed()} to the record. Thread-safe.
 */
public final class LogThrottle {

    private static final long WINDOW_MILLIS = 1_000;

    private final Clock clock;

    private final int recordsPerSecond;

    private long windowEndNanos;

    private int admitted;

    private long suppressed;

    /**
     * Create a throttle.
     *
     * @param clock the clock of the process
     * @param recordsPerSecond the number of records admitted per second
     */
    public LogThrottle(Clock clock, int recordsPerSecond) {
        this.clock = Assert.notNull(clock, "clock");
        this.recordsPerSecond = (int) Assert.atLeast(recordsPerSecond, 1, "recordsPerSecond");
        this.windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    /**
     * Request permission to log a record now; a record without permission is counted as suppressed.
     *
     * @return {@code true} if the record may be logged
     */
    public synchronized boolean tryAcquire() {
        if (clock.isPast(windowEndNanos)) {
            windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
            admitted = 0;
        }
        if (admitted >= recordsPerSecond) {
            suppressed++;
            return false;
        }
        admitted++;
        return true;
    }

    /**
     * Return the number of records suppressed since the last call, and reset it.
     *
     * @return the number of suppressed records
     */
    public synchronized long takeSuppressed() {
        long count = suppressed;
        suppressed = 0;
        return count;
    }
}
