package org.arbutusstack.side;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Priority;

/**
 * Estimator of the wait of queued work that work of higher priority overtakes, from the arrival rate of each
 * priority. Confined to the side's event loop.
 *
 * @see WorkQueue
 */
final class HigherPriorityDemand {

    /** Length of a counting window; see decision 0304. */
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

    /** Count work that was dispatched. */
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
     * Return the estimated wait of queued work.
     *
     * <p>Work of higher priority takes its share of the throughput first. What remains for this priority is at least
     * its guaranteed turns, and at least the rate at which it was dispatched in the last windows.
     *
     * @param priority the priority of the work
     * @param position the number of items of its priority that run before it
     * @param requestsPerSecond the throughput of the backend server
     * @return the time until the work is dispatched in nanoseconds, zero if no work of higher priority arrives
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

    /** Counts by priority in the current window and the previous one. */
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
