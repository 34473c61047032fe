package org.arbutusstack.gateway.allotment;

import java.util.Arrays;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Number of entries that share the allotments, of which an entry owns one part each.
 *
 * <p>A count that is too low makes the parts add up to more than the allotment. Sides count too few entries while these
 * start or reconnect, and in a part of a network that is cut in two. The count thus does not fall while an entry is not
 * linked to most sides, nor shortly after, and a process that has just started assumes more than there are. An entry
 * that has long been linked to few sides gives up most of its part, since those linked to most no longer count it.
 *
 * <p>Does no I/O; confined to the entry's event loop.
 */
public final class AllotmentShare {

    /** Count of a process that has just started; larger than any deployment. */
    private static final int FIRST_ENTRIES = 64;

    /** Part of the sides without which the others may not count all entries; allows for a few hosts that are lost. */
    private static final double MOST_SIDES = 0.9;

    /** Part of the sides that have to be linked to an entry, so that the typical count of all sides includes it. */
    private static final double FEW_SIDES = 0.25;

    /** Time after which others may no longer count an entry that few sides are linked to: 30 s, less some seconds. */
    private static final long COUNTED_MILLIS = 25_000;

    /** Factor on the count of an entry that others may not count, so that up to half of them add little. */
    private static final int UNCOUNTED_FACTOR = 8;

    /** Part of the sides whose counts are not higher than the one that is used. */
    private static final double TYPICAL_PART = 0.75;

    /** Time after which the counts of the sides include all entries that reconnect at once: several reports. */
    private static final long SETTLE_MILLIS = 1_000;

    private final IntSupplier reported;

    private final DoubleSupplier linkedPart;

    private final Clock clock;

    private int held = FIRST_ENTRIES;

    private long settledAtNanos;

    private long countedUntilNanos;

    /**
     * Create the count of a process that has just started.
     *
     * @param reported returns the number of entries that sides have reported lately
     * @param linkedPart returns the part of the sides in the directory that this entry is linked to, from 0 to 1
     * @param clock the clock of the process
     */
    public AllotmentShare(IntSupplier reported, DoubleSupplier linkedPart, Clock clock) {
        this.reported = Assert.notNull(reported, "reported");
        this.linkedPart = Assert.notNull(linkedPart, "linkedPart");
        this.clock = Assert.notNull(clock, "clock");
        this.settledAtNanos = clock.deadlineNanos(SETTLE_MILLIS);
        this.countedUntilNanos = clock.deadlineNanos(COUNTED_MILLIS);
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
        double linked = linkedPart.getAsDouble();
        if (linked >= FEW_SIDES) {
            countedUntilNanos = clock.deadlineNanos(COUNTED_MILLIS);
        }
        if (linked < MOST_SIDES) {
            settledAtNanos = clock.deadlineNanos(SETTLE_MILLIS);
        }
        int count = Math.max(1, reported.getAsInt());
        held = clock.isPast(settledAtNanos) ? count : Math.max(held, count);
        return clock.isPast(countedUntilNanos) ? held * UNCOUNTED_FACTOR : held;
    }
}
