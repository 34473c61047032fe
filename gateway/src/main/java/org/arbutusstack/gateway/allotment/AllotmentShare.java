package org.arbutusstack.gateway.allotment;

import java.util.Arrays;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Number of entries that share the allotments, of which an entry owns one part each.
 *
 * <p>A count that is too low makes the parts add up to more than the allotment. Sides count too few entries while these
 * start or reconnect, and in a part of a network that is cut in two; so the count does not fall while an entry is not
 * linked to most sides and shortly after, and a process that has just started assumes more than there are. Does no I/O;
 * confined to the entry's event loop.
 */
public final class AllotmentShare {

    /** Count of a process that has just started; larger than any deployment. */
    private static final int FIRST_ENTRIES = 64;

    /** Part of the sides whose counts are not higher than the one that is used. */
    private static final double TYPICAL_PART = 0.75;

    /** Time after which the counts of the sides include all entries that reconnect at once: several reports. */
    private static final long SETTLE_MILLIS = 1_000;

    private final IntSupplier reported;

    private final BooleanSupplier linked;

    private final Clock clock;

    private int held = FIRST_ENTRIES;

    private long settledAtNanos;

    /**
     * Create the count of a process that has just started.
     *
     * @param reported returns the number of entries that sides have reported lately
     * @param linked returns whether this entry is linked to most of the sides that the directory lists
     * @param clock the clock of the process
     */
    public AllotmentShare(IntSupplier reported, BooleanSupplier linked, Clock clock) {
        this.reported = Assert.notNull(reported, "reported");
        this.linked = Assert.notNull(linked, "linked");
        this.clock = Assert.notNull(clock, "clock");
        this.settledAtNanos = clock.deadlineNanos(SETTLE_MILLIS);
    }

    /**
     * Return the typical one of the counts of several sides. The highest is not: a side that was cut off counts each
     * entry twice until it notices that the old links are closed.
     *
     * @param counts the numbers of entries that the sides counted; sorted by this method
     * @return the upper quartile, or the highest of up to four counts; zero if there is none
     */
    public static int typicalOf(int[] counts) {
        Arrays.sort(counts);
        return counts.length == 0 ? 0 : counts[(int) (counts.length * TYPICAL_PART)];
    }

    /**
     * Return the number of entries that share the allotments; called at least once in a tick.
     *
     * @return the number, at least 1
     */
    public int entries() {
        if (!linked.getAsBoolean()) {
            settledAtNanos = clock.deadlineNanos(SETTLE_MILLIS);
        }
        int count = Math.max(1, reported.getAsInt());
        held = clock.isPast(settledAtNanos) ? count : Math.max(held, count);
        return held;
    }
}
