package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.TwoChoiceSelector;

/** Creates desks with the choice of runners that entries use. */
public final class RequestDispatchers {

    private RequestDispatchers() {}

    /**
     * Creates a dispatcher.
     *
     * @param runners the runners
     * @param runnerPort sends to runners
     * @param callers writes to callers
     * @param zone the entry's availability zone
     * @param clock the clock of the process
     * @param limits bounds the retries
     * @param metrics counts and times the requests
     * @return the dispatcher
     */
    public static RequestDispatcher create(
            RunnerTable runners,
            RunnerPort runnerPort,
            CallerPort callers,
            String zone,
            Clock clock,
            RetryLimits limits,
            GatewayMetrics metrics) {
        RunnerChooser chooser = new RunnerChooser(runners, new TwoChoiceSelector(zone), zone, clock);
        return new RequestDispatcher(chooser, runnerPort, callers, clock, limits, metrics);
    }
}
