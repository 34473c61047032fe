package org.arbutusstack.gateway.request;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Demand for models at this entry: the requests in flight and the callers that were asked to come back, with the
 * forecast of when a model that no runner holds will be loaded.
 *
 * <p>Does no I/O; confined to the entry's event loop.
 */
final class ModelDemand {

    private final RunnerChooser chooser;

    private final Clock clock;

    private final DeferredCallers deferredCallers;

    private final LoadForecast forecast;

    ModelDemand(RunnerChooser chooser, Clock clock) {
        this.chooser = Assert.notNull(chooser, "chooser");
        this.clock = Assert.notNull(clock, "clock");
        this.deferredCallers = new DeferredCallers(clock);
        this.forecast = new LoadForecast(clock);
    }

    void config(ServingConfig next) {
        forecast.config(next);
    }

    /**
     * Return the expected time of a load that ends after the caller has left, in milliseconds; empty if it is
     * earlier.
     */
    OptionalLong loadBeyondPatienceMillis(ActiveRequest active) {
        long loadMillis = chooser.loadMillis(active, forecast);
        long remainingMillis = clock.millisUntil(active.callerLeavesAtNanos());
        return loadMillis >= remainingMillis ? OptionalLong.of(loadMillis) : OptionalLong.empty();
    }

    void addAwaitingModel(InboundRequest request, long loadMillis) {
        deferredCallers.addAwaitingModel(request, loadMillis);
    }

    void addRefusedAtCapacity(InboundRequest request, long retryAfterMillis) {
        deferredCallers.addRefusedAtCapacity(request, retryAfterMillis);
    }

    /** Count the requests for each model of a service: those in flight and the expected retries of refused callers. */
    Map<String, ModelRequestCount> requestsByModel(Collection<ActiveRequest> inFlight, String service) {
        Map<String, ModelRequestCount> counts = ModelRequestCount.byModel(inFlight, service);
        deferredCallers
                .requestsByModel(service)
                .forEach((model, count) -> counts.merge(model, count, ModelRequestCount::plus));
        return counts;
    }
}
