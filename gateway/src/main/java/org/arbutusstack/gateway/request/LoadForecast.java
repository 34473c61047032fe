package org.arbutusstack.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.arbutusstack.gateway.config.EngineModel;
import org.arbutusstack.gateway.config.EngineSpec;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Forecast of when a model that no runner holds will be loaded, from where the runners store its weights.
 *
 * <p>Does no I/O; confined to the entry's event loop.
 *
 * @see DeferredCallers
 */
final class LoadForecast {

    /** Time from a request to the load order: the periods of the demand report, the planner and the side together. */
    private static final long PLANNING_MILLIS = 600;

    /** Time from the end of a load until entries are notified: two status intervals of a side. */
    private static final long REPORT_DELAY_MILLIS = 300;

    /** Remaining time assumed for a load that takes longer than forecast. */
    private static final long OVERDUE_REMAINING_MILLIS = 500;

    /** Load time assumed for an unknown model: the longest one specified. */
    private static final long DEFAULT_LOAD_MILLIS = 2_400;

    private final Clock clock;

    private ServingConfig config;

    LoadForecast(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    void config(ServingConfig next) {
        config = next;
    }

    /** Forecast the time until one of the runners holds the model, in milliseconds. */
    long remainingMillis(String service, String model, List<KnownRunner> available) {
        Optional<EngineModel> engineModel = findModel(service, model);
        OptionalLong inProgress = available.stream()
                .filter(runner -> runner.loadingModel().equals(model))
                .mapToLong(runner -> remainingLoadMillis(runner, loadMillis(runner, model, engineModel)))
                .min();
        if (inProgress.isPresent()) {
            return inProgress.getAsLong();
        }
        long shortestLoadMillis = available.stream()
                .filter(runner -> runner.loadingModel().isEmpty())
                .mapToLong(runner -> loadMillis(runner, model, engineModel))
                .min()
                .orElse(engineModel.map(EngineModel::loadMillis).orElse(DEFAULT_LOAD_MILLIS));
        return PLANNING_MILLIS + shortestLoadMillis + REPORT_DELAY_MILLIS;
    }

    private long remainingLoadMillis(KnownRunner runner, long loadMillis) {
        long elapsedMillis = (clock.nowNanos() - runner.loadingSinceNanos()) / Clock.NANOS_PER_MILLI;
        long remainingMillis = loadMillis + REPORT_DELAY_MILLIS - elapsedMillis;
        return remainingMillis > 0 ? remainingMillis : OVERDUE_REMAINING_MILLIS;
    }

    private static long loadMillis(KnownRunner runner, String model, Optional<EngineModel> engineModel) {
        if (engineModel.isEmpty()) {
            return DEFAULT_LOAD_MILLIS;
        }
        return runner.weightsLocation(model).loadMillis(engineModel.get());
    }

    private Optional<EngineModel> findModel(String service, String model) {
        if (config == null) {
            return Optional.empty();
        }
        return config.service(service)
                .flatMap(ServedService::engine)
                .map(EngineSpec::models)
                .flatMap(models -> models.stream()
                        .filter(known -> known.name().equals(model))
                        .findFirst());
    }
}
