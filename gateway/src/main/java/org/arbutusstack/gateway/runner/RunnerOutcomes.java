package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.RunnerHealth;
import org.arbutusstack.wire.frame.RunnerOutcomeFrame;

/**
 * Judges a runner by how this entry's requests ended there, and tells the process beside it what all entries are to
 * know.
 *
 * <p>Failures are told always, answers only while the runner is in doubt. Used by the entry's loop only.
 */
public final class RunnerOutcomes {

    private final KnownRunner runner;

    private final HostLiveness signs;

    private final Clock clock;

    private final RunnerHealth health = new RunnerHealth();

    /** Whether the side was told of a failure, so that an answer is told as well. */
    private boolean reportedFailure;

    RunnerOutcomes(KnownRunner runner, HostLiveness signs, Clock clock) {
        this.runner = runner;
        this.signs = signs;
        this.clock = clock;
    }

    void sent() {
        health.sent(clock.nowNanos());
    }

    /** Notes that the runner answered as it should. */
    public void succeeded() {
        health.succeeded();
        if (runner.isSuspectedByFleet() || reportedFailure) {
            reportedFailure = false;
            tell(false);
        }
    }

    /** Notes that the runner failed a request. */
    public void failed() {
        health.failed(clock.nowNanos());
        reportedFailure = true;
        tell(true);
    }

    /** Notes that the runner could not be reached. */
    public void unreachable() {
        health.unreachable(clock.nowNanos());
        reportedFailure = true;
        tell(true);
    }

    private void tell(boolean failed) {
        signs.send(new RunnerOutcomeFrame(runner.entry().startedAtMillis(), failed));
    }

    /**
     * Tells whether the runner is not to be tried, since it could not be reached a moment ago.
     *
     * @return whether that is so
     */
    public boolean isUnreachable() {
        return health.isUnreachable(clock.nowNanos());
    }

    /**
     * Tells whether other runners are to be preferred.
     *
     * @return whether requests of this entry failed there of late
     */
    public boolean isSuspected() {
        return health.isDoubtful(clock.nowNanos());
    }
}
