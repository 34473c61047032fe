package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.RunnerHealth;
import org.arbutusstack.wire.frame.RunnerOutcomeFrame;

/**
 * Health of a runner, judged by the outcomes of this entry's requests; reports outcomes to its side, which
 * shares them with all entries.
 *
 * <p>Failures are always reported, successes only while the runner is suspected. Confined to the entry's event loop.
 */
public final class RunnerOutcomes {

    private final KnownRunner runner;

    private final HostLiveness liveness;

    private final Clock clock;

    private final RunnerHealth health = new RunnerHealth();

    /** Whether a failure was reported to the side, so that the next success is reported as well. */
    private boolean reportedFailure;

    RunnerOutcomes(KnownRunner runner, HostLiveness liveness, Clock clock) {
        this.runner = runner;
        this.liveness = liveness;
        this.clock = clock;
    }

    void recordSent() {
        health.sent(clock.nowNanos());
    }

    /** Record that the runner answered a request correctly. */
    public void succeeded() {
        health.succeeded();
        if (runner.isSuspectedByFleet() || reportedFailure) {
            reportedFailure = false;
            report(false);
        }
    }

    /** Record that the runner failed a request. */
    public void failed() {
        health.failed(clock.nowNanos());
        reportedFailure = true;
        report(true);
    }

    /** Record that the runner could not be reached. */
    public void unreachable() {
        health.unreachable(clock.nowNanos());
        reportedFailure = true;
        report(true);
    }

    private void report(boolean failed) {
        liveness.send(new RunnerOutcomeFrame(runner.entry().startedAtMillis(), failed));
    }

    /**
     * Return whether the runner is to be skipped, since a recent connection attempt failed.
     *
     * @return whether the runner counts as unreachable
     */
    public boolean isUnreachable() {
        return health.isUnreachable(clock.nowNanos());
    }

    /**
     * Return whether the runner is suspected, so that other runners are preferred.
     *
     * @return whether requests of this entry failed there recently
     */
    public boolean isSuspect() {
        return health.isSuspect(clock.nowNanos());
    }
}
