package org.arbutusstack.gateway.agent;

/**
 * Strategy interface for communicating with the runner on the local host. Calls block for a bounded time; used by the
 * agent's thread only.
 */
public interface ManagedRunner {

    /**
     * Read the current state of the runner.
     *
     * @return the state, or what is known without it
     */
    RunnerReport read();

    /**
     * Issue an order to the runner.
     *
     * @param order the order
     * @return the outcome; {@link OrderOutcome#UNKNOWN} if the runner did not answer
     */
    OrderOutcome order(RunnerOrder order);
}
