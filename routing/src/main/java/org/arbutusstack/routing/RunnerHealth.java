package org.arbutusstack.routing;

/**
 * Judges a runner by the outcomes of the requests sent to it, since its own word may be wrong.
 *
 * <p>Failures weigh more the more recent they are. A runner in doubt gets a request now and then, so that it is trusted
 * again once it answers. To be used by one thread.
 */
public final class RunnerHealth {

    private static final double WEIGHT_OF_LATEST = 0.25;

    /** The share of recent failures above which a runner is in doubt: over any error rate of a sound service. */
    private static final double DOUBT_SHARE = 0.45;

    private static final long PROBE_NANOS = 500_000_000L;

    private double failures;

    private boolean unreachable;

    private boolean probed;

    private long probeAtNanos;

    /** Notes that the runner answered as it should. */
    public void succeeded() {
        failures *= 1 - WEIGHT_OF_LATEST;
        unreachable = false;
    }

    /**
     * Notes that the runner failed a request.
     *
     * @param nowNanos the present instant
     */
    public void failed(long nowNanos) {
        failures = failures * (1 - WEIGHT_OF_LATEST) + WEIGHT_OF_LATEST;
        probed = true;
        probeAtNanos = nowNanos + PROBE_NANOS;
    }

    /**
     * Notes that the runner could not be reached; it is in doubt at once.
     *
     * @param nowNanos the present instant
     */
    public void unreachable(long nowNanos) {
        failures = 1;
        unreachable = true;
        probed = true;
        probeAtNanos = nowNanos + PROBE_NANOS;
    }

    /**
     * Tells whether other runners are to be preferred.
     *
     * @param nowNanos the present instant
     * @return whether recent requests failed and no probe is due
     */
    public boolean isSuspect(long nowNanos) {
        boolean probeDue = !probed || nowNanos - probeAtNanos >= 0;
        return failures > DOUBT_SHARE && !probeDue;
    }

    /**
     * Tells whether the runner is not to be tried, since it could not be reached a moment ago.
     *
     * @param nowNanos the present instant
     * @return whether that is so and no probe is due
     */
    public boolean isUnreachable(long nowNanos) {
        return unreachable && nowNanos - probeAtNanos < 0;
    }

    /**
     * Notes that a request is sent; the next probe waits for its outcome.
     *
     * @param nowNanos the present instant
     */
    public void sent(long nowNanos) {
        if (failures > DOUBT_SHARE) {
            probeAtNanos = nowNanos + PROBE_NANOS;
        }
    }
}
