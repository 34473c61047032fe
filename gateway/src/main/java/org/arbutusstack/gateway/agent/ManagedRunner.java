package org.arbutusstack.gateway.agent;

import java.util.Optional;

/** Speaks to the runner on the own host; blocks for a bounded time. Used by the attendant's duty only. */
public interface ManagedRunner {

    /**
     * Reads the runner's present state.
     *
     * @return the state, or empty if the runner did not answer
     */
    Optional<RunnerState> read();

    /**
     * Gives an order.
     *
     * @param order the order
     * @return what became of it
     */
    OrderOutcome order(RunnerOrder order);
}
