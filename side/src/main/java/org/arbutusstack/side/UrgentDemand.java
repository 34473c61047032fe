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
final class UrgentDemand {

    /** Arrivals are counted over so long; source: decision 0304. */
    private static final long WINDOW_MILLIS = 500;

    private static final double WINDOWS_PER_SECOND = 1_000.0 / WINDOW_MILLIS;

    private final Clock clock;

    private final Windows arrivals = new Windows();

    private final Windows turns = new Windows();

    private long windowUntilNanos;

    UrgentDemand(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.windowUntilNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    void arrived(Priority priority) {
        roll();
        arrivals.add(priority);
    }

    /** Counts work that got its turn. */
    void begun(Priority priority) {
        roll();
        turns.add(priority);
    }

    private void roll() {
        if (!clock.isPast(windowUntilNanos)) {
            return;
        }
        boolean adjacent = !clock.isPast(windowUntilNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI);
        arrivals.roll(adjacent);
        turns.roll(adjacent);
        windowUntilNanos = clock.deadlineNanos(WINDOW_MILLIS);
    }

    /**
     * Estimates the wait of work behind others of its priority.
     *
     * @param priority its priority
     * @param place the number of its priority that go before it
     * @param runsPerSecond how many requests the backend server answers
     * @return the time until its turn in nanoseconds, zero if nothing more urgent arrives
     */
    long waitNanos(Priority priority, int place, double runsPerSecond) {
        roll();
        double urgentPerSecond = 0;
        for (Priority other : Priority.values()) {
            if (other.urgency() < priority.urgency()) {
                urgentPerSecond += arrivals.perSecond(other);
            }
        }
        if (urgentPerSecond == 0 || runsPerSecond <= 0) {
            return 0;
        }
        double ownTurnsPerSecond = runsPerSecond / WorkQueue.TAKES_PER_BULK_TURN;
        double computedPerSecond = Math.max(ownTurnsPerSecond, runsPerSecond - urgentPerSecond);
        double leftPerSecond = Math.max(computedPerSecond, turns.perSecond(priority));
        return (long) ((place + 1) / leftPerSecond * TimeUnit.SECONDS.toNanos(1));
    }

    /** Counts by priority in the present window and the one before. */
    private static final class Windows {

        private final int[] present = new int[Priority.values().length];

        private final int[] last = new int[Priority.values().length];

        void add(Priority priority) {
            present[priority.ordinal()]++;
        }

        void roll(boolean adjacent) {
            Arrays.fill(last, 0);
            if (adjacent) {
                System.arraycopy(present, 0, last, 0, present.length);
            }
            Arrays.fill(present, 0);
        }

        double perSecond(Priority priority) {
            return WINDOWS_PER_SECOND * Math.max(present[priority.ordinal()], last[priority.ordinal()]);
        }
    }
}
