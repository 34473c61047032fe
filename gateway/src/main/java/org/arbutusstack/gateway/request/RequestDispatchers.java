package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.quarantine.ContentQuarantine;
import org.arbutusstack.gateway.quarantine.CrashMonitor;
import org.arbutusstack.kernel.time.Clock;

/** Factory for request dispatchers. */
public final class RequestDispatchers {

    private RequestDispatchers() {}

    /**
     * Create a dispatcher that chooses runners as entries do.
     *
     * @param routing what the choice of a runner depends on
     * @param runnerPort sends requests to runners
     * @param callers writes answers and refusals to callers
     * @param clock the clock of the process
     * @param limits the limits on the attempts of requests
     * @param metrics the metrics of requests
     * @param quarantine the quarantine for content that crashes runners
     * @param crashMonitor the monitor of the runners that have no side
     * @return the dispatcher
     */
    public static RequestDispatcher create(
            RoutingContext routing,
            RunnerPort runnerPort,
            CallerPort callers,
            Clock clock,
            AttemptLimits limits,
            GatewayMetrics metrics,
            ContentQuarantine quarantine,
            CrashMonitor crashMonitor) {
        PromptAdmission admission = new PromptAdmission(limits.maxPromptHoldMillis(), clock);
        RunnerChooser chooser = new RunnerChooser(routing, admission, clock);
        return new RequestDispatcher(
                chooser,
                admission,
                runnerPort,
                callers,
                clock,
                limits,
                metrics,
                new RequestQuarantine(quarantine, crashMonitor, clock, new LossHistory(clock, metrics)));
    }
}
