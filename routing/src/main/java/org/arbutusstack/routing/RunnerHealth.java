package org.arbutusstack.routing;

/**
 * Health of a runner, derived from the outcomes of the requests sent to it, since its own reports may be wrong.
 *
 * <p>The failure ratio is an exponential moving average. A suspect runner receives a probe request from time to time,
 * so that it is used again once it answers. Not thread-safe.
 */
public final class RunnerHealth {

    private static final double SMOOTHING_FACTOR = 0.25;

    /** Failure ratio above which a runner is suspect; higher than any error rate of a healthy service. */
    private static final double SUSPECT_FAILURE_RATIO = 0.45;

    private static final long PROBE_INTERVAL_NANOS = 500_000_000L;

    private double failureRatio;

    private boolean unreachable;

    private boolean probeScheduled;

    private long probeAtNanos;

    /** Record that the runner answered a request as expected. */
    public void succeeded() {
        failureRatio *= 1 - SMOOTHING_FACTOR;
        unreachable = false;
    }

    /**
     * Record that the runner failed a request.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void failed(long nowNanos) {
        failureRatio = failureRatio * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR;
        probeScheduled = true;
        probeAtNanos = nowNanos + PROBE_INTERVAL_NANOS;
    }

    /**
     * Record that the runner could not be reached; it is suspect immediately.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void unreachable(long nowNanos) {
        failureRatio = 1;
        unreachable = true;
        probeScheduled = true;
        probeAtNanos = nowNanos + PROBE_INTERVAL_NANOS;
    }

    /**
     * Return whether the runner is suspect, so that other runners are preferred.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if too many recent requests failed and no probe is due
     */
    public boolean isSuspect(long nowNanos) {
        boolean probeDue = !probeScheduled || nowNanos - probeAtNanos >= 0;
        return failureRatio > SUSPECT_FAILURE_RATIO && !probeDue;
    }

    /**
     * Return whether the runner must not be tried, since it could not be reached a short time ago.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return {@code true} if the last attempt did not reach it and no probe is due
     */
    public boolean isUnreachable(long nowNanos) {
        return unreachable && nowNanos - probeAtNanos < 0;
    }

    /**
     * Record that a request is sent; to a suspect runner, this delays the next probe.
     *
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void sent(long nowNanos) {
        if (failureRatio > SUSPECT_FAILURE_RATIO) {
            probeAtNanos = nowNanos + PROBE_INTERVAL_NANOS;
        }
    }
}
