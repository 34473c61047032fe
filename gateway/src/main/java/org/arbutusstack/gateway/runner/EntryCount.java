package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Estimate of how many entries share the fleet-wide limits, derived from the number of entry links that sides report.
 *
 * <p>The highest count of the last 30 to 60 seconds is used, since a side that is cut off, or an entry that has just
 * started, sees too few links. Does no I/O; confined to the entry's event loop.
 */
public final class EntryCount {

    /** Length of a window; longer than any outage after which all entries reconnect at once. */
    private static final long WINDOW_MILLIS = 30_000;

    /** Count assumed before any side has reported one; larger than any deployment. */
    private static final int DEFAULT_ENTRIES = 64;

    private final Clock clock;

    /** The highest counts of the current window and of the previous one. */
    private int currentMax;

    private int previousMax;

    private long windowEndsAtNanos;

    EntryCount(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.windowEndsAtNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    /** Record the number of entries linked to a side. */
    void report(int entries) {
        rotateWindow();
        currentMax = Math.max(currentMax, entries);
    }

    private void rotateWindow() {
        if (clock.isPast(windowEndsAtNanos)) {
            previousMax = currentMax;
            currentMax = 0;
            windowEndsAtNanos = clock.deadlineNanos(WINDOW_MILLIS);
        }
    }

    /**
     * Return the number of entries assumed to share the fleet-wide limits.
     *
     * @return the highest count reported within the last 30 to 60 seconds, or a default above the size of any
     *     deployment if none was reported
     */
    public int entries() {
        rotateWindow();
        int highest = Math.max(previousMax, currentMax);
        return highest == 0 ? DEFAULT_ENTRIES : highest;
    }
}
