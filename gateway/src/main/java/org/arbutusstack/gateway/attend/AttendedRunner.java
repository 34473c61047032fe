package org.arbutusstack.gateway.attend;

import java.util.Optional;

/** Speaks to the runner on the own host; blocks for a bounded time. Used by the attendant's duty only. */
public interface AttendedRunner {

    /**
     * Reads the runner's present state.
     *
     * @return the state, or empty if the runner did not answer
     */
    Optional<RunnerReading> read();

    /**
     * Gives an order.
     *
     * @param order the order
     * @return what became of it
     */
    OrderOutcome order(RunnerOrder order);
}
