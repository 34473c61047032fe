package org.arbutusstack.routing;

import java.util.Arrays;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Priority;

/**
 * Follows one entry's requests at one runner and estimates how long another would take there.
 *
 * <p>By Little's law the time of a request is the number in flight over the rate at which they end. While the runner
 * reports that requests wait, the rate at which all end is its speed; at other times it is the demand, so that it can
 * only raise what is known of the speed. A less urgent priority gets what the more urgent ones leave. To be used by one
 * thread.
 */
public final class RunnerLoad {

    private static final long WINDOW_MILLIS = 500;

    private static final double WINDOWS_PER_SECOND = 2;

    private static final double WEIGHT_OF_LATEST = 0.4;

    private static final double SAFETY = 1.4;

    private static final double LEAST_PER_SECOND = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final int[] inFlight = new int[Priority.values().length];

    private final int[] endedInWindow = new int[Priority.values().length];

    private final int[] sentInWindow = new int[Priority.values().length];

    private final int[] sentInLastWindow = new int[Priority.values().length];

    private final double[] endedPerSecond = new double[Priority.values().length];

    private long windowEndNanos;

    private boolean reportedWaiting;

    private int slots;

    private boolean waitingAllWindow;

    private double speedPerSecond;

    /**
     * Creates a load of nothing.
     *
     * @param nowNanos the present instant
     */
    public RunnerLoad(long nowNanos) {
        this.windowEndNanos = nowNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI;
    }

    /**
     * Counts a request sent.
     *
     * @param priority its priority
     */
    public void sent(Priority priority) {
        inFlight[priority.ordinal()]++;
        sentInWindow[priority.ordinal()]++;
    }

    /**
     * Counts a request that is no longer in flight.
     *
     * @param priority its priority
     * @param answered whether the runner answered it
     */
    public void ended(Priority priority, boolean answered) {
        inFlight[priority.ordinal()]--;
        if (answered) {
            endedInWindow[priority.ordinal()]++;
        }
    }

    /**
     * Takes the runner's report of its load.
     *
     * @param queued the requests that wait there
     * @param running the requests that run there
     */
    public void reported(int queued, int running) {
        reportedWaiting = queued > 0;
        if (reportedWaiting) {
            slots = running;
        }
        waitingAllWindow &= reportedWaiting;
    }

    /** Tells whether requests wait, by the last report or since this entry alone has sent more than can run. */
    private boolean isWaiting() {
        return reportedWaiting || slots > 0 && outstanding() > slots;
    }

    /**
     * Learns from the window that has passed, if one has.
     *
     * @param nowNanos the present instant
     */
    public void tick(long nowNanos) {
        if (nowNanos - windowEndNanos < 0) {
            return;
        }
        learn();
        System.arraycopy(sentInWindow, 0, sentInLastWindow, 0, sentInWindow.length);
        Arrays.fill(sentInWindow, 0);
        Arrays.fill(endedInWindow, 0);
        waitingAllWindow = isWaiting();
        windowEndNanos = nowNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI;
    }

    private void learn() {
        double sum = 0;
        for (int index = 0; index < endedInWindow.length; index++) {
            double latest = endedInWindow[index] * WINDOWS_PER_SECOND;
            sum += latest;
            endedPerSecond[index] = mean(endedPerSecond[index], latest);
        }
        speedPerSecond =
                waitingAllWindow && speedPerSecond > 0 ? mean(speedPerSecond, sum) : Math.max(speedPerSecond, sum);
    }

    private static double mean(double before, double latest) {
        return WEIGHT_OF_LATEST * latest + (1 - WEIGHT_OF_LATEST) * before;
    }

    /**
     * Estimates the time of one more request.
     *
     * @param priority its priority
     * @return the milliseconds until its answer, zero as long as nothing waits at the runner
     */
    public long estimateMillis(Priority priority) {
        if (!isWaiting() || speedPerSecond == 0) {
            return 0;
        }
        double leftPerSecond = speedPerSecond;
        for (Priority other : Priority.values()) {
            if (other.urgency() < priority.urgency()) {
                leftPerSecond -= demandPerSecond(other);
            }
        }
        int ahead = inFlight[priority.ordinal()] + 1;
        return (long) (SAFETY * MILLIS_PER_SECOND * ahead / Math.max(LEAST_PER_SECOND, leftPerSecond));
    }

    private double demandPerSecond(Priority priority) {
        int index = priority.ordinal();
        double latest = WINDOWS_PER_SECOND * Math.max(sentInWindow[index], sentInLastWindow[index]);
        return Math.max(latest, endedPerSecond[index]);
    }

    /**
     * Counts the requests in flight.
     *
     * @return those of all priorities
     */
    public int outstanding() {
        int sum = 0;
        for (int count : inFlight) {
            sum += count;
        }
        return sum;
    }
}
