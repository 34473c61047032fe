package org.arbutusstack.routing;

import java.util.Arrays;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Priority;

/**
 * Requests of one entry at one runner, with an estimate of the time that another request would take there.
 *
 * <p>By Little's law, the time of a request is the number in flight divided by the completion rate. While the runner
 * reports queued requests, the completion rate of all requests is the throughput of the runner. At other times the rate
 * reflects the demand, so that it can only raise the known throughput. A less urgent priority gets the throughput that
 * more urgent ones leave. Not thread-safe.
 */
public final class RunnerLoad {

    private static final long WINDOW_MILLIS = 500;

    private static final double WINDOWS_PER_SECOND = 2;

    private static final double SMOOTHING_FACTOR = 0.4;

    private static final double SAFETY_FACTOR = 1.4;

    private static final double MIN_COMPLETIONS_PER_SECOND = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final int[] inFlight = new int[Priority.values().length];

    private final int[] endedInWindow = new int[Priority.values().length];

    private final int[] sentInWindow = new int[Priority.values().length];

    private final int[] sentInLastWindow = new int[Priority.values().length];

    private final double[] endedPerSecond = new double[Priority.values().length];

    private long windowEndNanos;

    private boolean queueReported;

    private int slots;

    private boolean queuedAllWindow;

    private double completionsPerSecond;

    /**
     * Create a load without requests.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public RunnerLoad(long nowNanos) {
        this.windowEndNanos = nowNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI;
    }

    /**
     * Record that a request was sent to the runner.
     *
     * @param priority the priority of the request
     */
    public void sent(Priority priority) {
        inFlight[priority.ordinal()]++;
        sentInWindow[priority.ordinal()]++;
    }

    /**
     * Record that a request is no longer in flight.
     *
     * @param priority the priority of the request
     * @param answered whether the runner answered it
     */
    public void ended(Priority priority, boolean answered) {
        inFlight[priority.ordinal()]--;
        if (answered) {
            endedInWindow[priority.ordinal()]++;
        }
    }

    /**
     * Update from a load report of the runner.
     *
     * @param queued the number of requests that wait there
     * @param running the number of requests that run there
     */
    public void reported(int queued, int running) {
        queueReported = queued > 0;
        if (queueReported) {
            slots = running;
        }
        queuedAllWindow &= queueReported;
    }

    /**
     * Return whether requests wait at the runner, according to its last report or because this entry alone has sent
     * more than can run.
     */
    private boolean hasQueue() {
        return queueReported || slots > 0 && outstanding() > slots;
    }

    /**
     * Update the rates if a measurement window has ended.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void tick(long nowNanos) {
        if (nowNanos - windowEndNanos < 0) {
            return;
        }
        updateRates();
        System.arraycopy(sentInWindow, 0, sentInLastWindow, 0, sentInWindow.length);
        Arrays.fill(sentInWindow, 0);
        Arrays.fill(endedInWindow, 0);
        queuedAllWindow = hasQueue();
        windowEndNanos = nowNanos + WINDOW_MILLIS * Clock.NANOS_PER_MILLI;
    }

    private void updateRates() {
        double sum = 0;
        for (int index = 0; index < endedInWindow.length; index++) {
            double latest = endedInWindow[index] * WINDOWS_PER_SECOND;
            sum += latest;
            endedPerSecond[index] = smooth(endedPerSecond[index], latest);
        }
        completionsPerSecond = queuedAllWindow && completionsPerSecond > 0
                ? smooth(completionsPerSecond, sum)
                : Math.max(completionsPerSecond, sum);
    }

    private static double smooth(double previous, double latest) {
        return SMOOTHING_FACTOR * latest + (1 - SMOOTHING_FACTOR) * previous;
    }

    /**
     * Estimate the time that another request would take.
     *
     * @param priority the priority of the request
     * @return the time until its answer, in milliseconds; zero as long as no request waits at the runner
     */
    public long estimateMillis(Priority priority) {
        if (!hasQueue() || completionsPerSecond == 0) {
            return 0;
        }
        double availablePerSecond = completionsPerSecond;
        for (Priority other : Priority.values()) {
            if (other.urgency() < priority.urgency()) {
                availablePerSecond -= demandPerSecond(other);
            }
        }
        int ahead = inFlight[priority.ordinal()] + 1;
        return (long)
                (SAFETY_FACTOR * MILLIS_PER_SECOND * ahead / Math.max(MIN_COMPLETIONS_PER_SECOND, availablePerSecond));
    }

    private double demandPerSecond(Priority priority) {
        int index = priority.ordinal();
        double latest = WINDOWS_PER_SECOND * Math.max(sentInWindow[index], sentInLastWindow[index]);
        return Math.max(latest, endedPerSecond[index]);
    }

    /**
     * Return the number of requests in flight.
     *
     * @return the number of requests of all priorities
     */
    public int outstanding() {
        int sum = 0;
        for (int count : inFlight) {
            sum += count;
        }
        return sum;
    }
}
