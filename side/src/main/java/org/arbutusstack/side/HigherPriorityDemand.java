package org.arbutusstack.side;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Priority;

/**
 * Measures how often work of each priority arrives, and estimates when less urgent work is answered that more urgent
 * work overtakes while it waits. Used by the side's duty only.
 *
 * @see WorkQueue
 */
final class HigherPriorityDemand {

    /** Arrivals are counted over so long; source: decision 0304. */
    private static final long WINDOW_MILLIS = 500;

    private static final double WINDOWS_PER_SECOND = 1_000.0 / WINDOW_MILLIS;

    private final Clock clock;

    private final WindowCounts arrivals = new WindowCounts();

    private final WindowCounts starts = new WindowCounts();

    private long windowEndNanos;

    HigherPriorityDemand(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    void recordArrival(Priority priority) {
        roll();
        arrivals.add(priority);
    }

    /** Counts work that got its turn. */
    void recordStart(Priority priority) {
        roll();
        starts.add(priority);
    }

    private void roll() {
        if (!clock.isPast(windowEndNanos)) {
            return;
        }
        boolean consecutive = !clock.isPast(windowEndNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI);
        arrivals.roll(consecutive);
        starts.roll(consecutive);
        windowEndNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    /**
     * Estimates the wait of work behind others of its priority.
     *
     * @param priority its priority
     * @param position the number of its priority that go before it
     * @param requestsPerSecond how many requests the backend server answers
     * @return the time until its turn in nanoseconds, zero if nothing more urgent arrives
     */
    long estimateWaitNanos(Priority priority, int position, double requestsPerSecond) {
        roll();
        double higherPriorityPerSecond = 0;
        for (Priority other : Priority.values()) {
            if (other.urgency() < priority.urgency()) {
                higherPriorityPerSecond += arrivals.perSecond(other);
            }
        }
        if (higherPriorityPerSecond == 0 || requestsPerSecond <= 0) {
            return 0;
        }
        double guaranteedPerSecond = requestsPerSecond / WorkQueue.DEQUEUES_PER_BULK_TURN;
        double remainingPerSecond = Math.max(guaranteedPerSecond, requestsPerSecond - higherPriorityPerSecond);
        double availablePerSecond = Math.max(remainingPerSecond, starts.perSecond(priority));
        return (long) ((position + 1) / availablePerSecond * TimeUnit.SECONDS.toNanos(1));
    }

    /** Counts by priority in the present window and the one before. */
    private static final class WindowCounts {

        private final int[] current = new int[Priority.values().length];

        private final int[] previous = new int[Priority.values().length];

        void add(Priority priority) {
            current[priority.ordinal()]++;
        }

        void roll(boolean consecutive) {
            Arrays.fill(previous, 0);
            if (consecutive) {
                System.arraycopy(current, 0, previous, 0, current.length);
            }
            Arrays.fill(current, 0);
        }

        double perSecond(Priority priority) {
            return WINDOWS_PER_SECOND * Math.max(current[priority.ordinal()], previous[priority.ordinal()]);
        }
    }
}
