package org.arbutusstack.gateway.agent;

import java.util.List;
import java.util.Optional;
import org.arbutusstack.gateway.quarantine.RunnerCrashes;
import org.arbutusstack.wire.frame.StrikeFrame;

/** What a poll of the runner brought: its state, an answer that cannot be read, or none. */
public sealed interface RunnerReport {

    /**
     * Return the state of the runner.
     *
     * @return the state; empty if it is not known
     */
    default Optional<RunnerState> state() {
        return Optional.empty();
    }

    /**
     * Record what the poll says of lost requests.
     *
     * @param crashes the tracker of the runner's crashes
     * @param polledAtNanos when the poll began, in nanoseconds of the process clock
     * @return the strikes to send to all entries
     */
    List<StrikeFrame> explainLosses(RunnerCrashes crashes, long polledAtNanos);

    /**
     * State of the runner.
     *
     * @param value the state
     */
    record Read(RunnerState value) implements RunnerReport {

        @Override
        public Optional<RunnerState> state() {
            return Optional.of(value);
        }

        @Override
        public List<StrikeFrame> explainLosses(RunnerCrashes crashes, long polledAtNanos) {
            return crashes.pollAnswered(value.startedAtMillis(), polledAtNanos);
        }
    }

    /** Answer that cannot be read: a runner runs, but it is not known which incarnation, nor what it holds. */
    record Unreadable() implements RunnerReport {

        @Override
        public List<StrikeFrame> explainLosses(RunnerCrashes crashes, long polledAtNanos) {
            crashes.pollUnreadable();
            return List.of();
        }
    }

    /** No answer, as from a runner that has crashed. */
    record Missing() implements RunnerReport {

        @Override
        public List<StrikeFrame> explainLosses(RunnerCrashes crashes, long polledAtNanos) {
            return crashes.pollFailed();
        }
    }
}
