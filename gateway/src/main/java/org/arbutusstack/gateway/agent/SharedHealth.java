package org.arbutusstack.gateway.agent;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Health of a runner, judged by the outcomes that all entries report, since the runner's own report may be wrong and
 * each of many entries sends it too few requests to judge by.
 *
 * <p>A suspected runner is avoided for a backoff time that doubles with each failed probe; then single requests probe
 * it until it has answered a few. Does no I/O; safe for use by any thread.
 */
final class SharedHealth {

    private static final double LATEST_WEIGHT = 0.25;

    /** Decayed failure rate above which a runner is suspected; higher than the error rate of any healthy service. */
    private static final double SUSPICION_THRESHOLD = 0.45;

    /** Decay time of the failure rate; entries report all failures, but successes only of a suspected runner. */
    private static final double DECAY_MILLIS = 2_000;

    private static final long INITIAL_BACKOFF_MILLIS = 500;

    /** Upper limit of the backoff; about the time that a crashed runner takes to return. */
    private static final long MAX_BACKOFF_MILLIS = 4_000;

    /** Minimum time between two requests that probe a suspected runner. */
    private static final long PROBE_INTERVAL_MILLIS = 200;

    /** Number of successful probes after which a runner is no longer suspected. */
    private static final int REQUIRED_SUCCESSES = 3;

    private final Clock clock;

    private double failureRate;

    private long recordedAtNanos;

    private boolean suspected;

    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    private long backoffUntilNanos;

    private long probedAtNanos;

    private int successfulProbes;

    SharedHealth(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.recordedAtNanos = clock.nowNanos();
    }

    /** Record the outcome of a request at the runner. */
    synchronized void recordOutcome(boolean failed) {
        double elapsedMillis = (clock.nowNanos() - recordedAtNanos) / (double) Clock.NANOS_PER_MILLI;
        failureRate *= (1 - LATEST_WEIGHT) * Math.exp(-elapsedMillis / DECAY_MILLIS);
        recordedAtNanos = clock.nowNanos();
        if (failed) {
            failureRate += LATEST_WEIGHT;
            suspectAboveThreshold();
        } else if (suspected && clock.isPast(backoffUntilNanos)) {
            successfulProbes++;
            if (successfulProbes >= REQUIRED_SUCCESSES) {
                clearSuspicion();
            }
        }
    }

    private void suspectAboveThreshold() {
        boolean backingOff = suspected && !clock.isPast(backoffUntilNanos);
        if (backingOff || !suspected && failureRate <= SUSPICION_THRESHOLD) {
            return;
        }
        backoffMillis = suspected ? Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis) : INITIAL_BACKOFF_MILLIS;
        suspected = true;
        successfulProbes = 0;
        backoffUntilNanos = clock.deadlineNanos(backoffMillis);
    }

    /** Clear the suspicion, since the runner answers or another incarnation has replaced it. */
    synchronized void clearSuspicion() {
        suspected = false;
        failureRate = 0;
        successfulProbes = 0;
    }

    /** Return whether entries are to prefer other runners; false while probes are let through. */
    synchronized boolean isSuspect() {
        return suspected && !clock.isPast(backoffUntilNanos);
    }

    /** Return whether an entry is to send its next request to another runner; false once for each due probe. */
    synchronized boolean isSuspectForNextRequest() {
        if (!suspected) {
            return false;
        }
        boolean probeDue = clock.isPast(backoffUntilNanos)
                && clock.isPast(probedAtNanos + PROBE_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI);
        if (probeDue) {
            probedAtNanos = clock.nowNanos();
        }
        return !probeDue;
    }
}
