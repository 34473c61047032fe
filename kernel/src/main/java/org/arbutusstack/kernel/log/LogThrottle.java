package org.arbutusstack.kernel.log;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Lets through a number of log records a second and counts the others.
 *
 * <p>Use one for each kind of record that repeats can flood: ask {@link #tryAcquire()} before logging, and log {@link
 * #takeSuppressed()} with the record. Safe for use by any thread.
 */
public final class LogThrottle {

    private static final long WINDOW_MILLIS = 1_000;

    private final Clock clock;

    private final int recordsPerSecond;

    private long windowEndNanos;

    private int admitted;

    private long suppressed;

    /**
     * Creates a throttle.
     *
     * @param clock the clock of the process
     * @param recordsPerSecond the records let through in a second
     */
    public LogThrottle(Clock clock, int recordsPerSecond) {
        this.clock = Assert.notNull(clock, "clock");
        this.recordsPerSecond = (int) Assert.atLeast(recordsPerSecond, 1, "recordsPerSecond");
        this.windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    /**
     * Tells whether a record may be logged now, and counts it if not.
     *
     * @return whether it may
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
     * Tells how many records were not logged since the last call.
     *
     * @return the number
     */
    public synchronized long takeSuppressed() {
        long taken = suppressed;
        suppressed = 0;
        return taken;
    }
}
