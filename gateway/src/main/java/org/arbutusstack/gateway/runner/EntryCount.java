package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Counts the entries that share what the fleet is permitted, by what sides tell of their links.
 *
 * <p>A side that is cut off, or an entry that starts beside others, sees too few links, so that the highest count of
 * the last minute holds. Does no I/O; used by the entry's loop only.
 */
public final class EntryCount {

    /** How long a count holds: longer than any outage after which entries return at once. */
    private static final long HOLD_MILLIS = 30_000;

    /** The entries reckoned with before a side has report any: more than any deployment of the users has. */
    private static final int UNKNOWN_ENTRIES = 64;

    private final Clock clock;

    /** The highest counts of the present span and of the one before. */
    private int present;

    private int before;

    private long spanEndsAtNanos;

    EntryCount(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.spanEndsAtNanos = clock.deadlineNanos(HOLD_MILLIS);
    }

    void report(int entries) {
        turnOver();
        present = Math.max(present, entries);
    }

    private void turnOver() {
        if (clock.isPast(spanEndsAtNanos)) {
            before = present;
            present = 0;
            spanEndsAtNanos = clock.deadlineNanos(HOLD_MILLIS);
        }
    }

    /**
     * Tells the entries to reckon with.
     *
     * @return the highest count of the last half to whole minute
     */
    public int entries() {
        turnOver();
        int most = Math.max(before, present);
        return most == 0 ? UNKNOWN_ENTRIES : most;
    }
}
