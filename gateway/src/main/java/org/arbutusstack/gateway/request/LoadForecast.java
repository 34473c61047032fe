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
 * Forecasts when a model that no runner holds will be loaded, from where the runners keep copies of it.
 *
 * <p>Does no I/O; used by the entry's loop only.
 *
 * @see ModelWaits
 */
final class LoadForecast {

    /** From a caller's wish to the order: the demand told, the plan, and the side's turn; source: their periods. */
    private static final long PLAN_MILLIS = 600;

    /** From the end of a load until entries know of it; source: two periods of a side. */
    private static final long TOLD_MILLIS = 300;

    /** A load that takes longer than forecast is expected to end soon. */
    private static final long OVERDUE_MILLIS = 500;

    /** A load of unknown duration: the longest that the users name. */
    private static final long UNKNOWN_LOAD_MILLIS = 2_400;

    private final Clock clock;

    private ServingConfig config;

    LoadForecast(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    void config(ServingConfig next) {
        config = next;
    }

    /** Forecasts the time until one of the runners holds the model. */
    long remainingMillis(String service, String model, List<KnownRunner> able) {
        Optional<EngineModel> described = describe(service, model);
        OptionalLong underWay = able.stream()
                .filter(runner -> runner.loadingModel().equals(model))
                .mapToLong(runner -> leftMillis(runner, loadMillis(runner, model, described)))
                .min();
        if (underWay.isPresent()) {
            return underWay.getAsLong();
        }
        long quickestMillis = able.stream()
                .filter(runner -> runner.loadingModel().isEmpty())
                .mapToLong(runner -> loadMillis(runner, model, described))
                .min()
                .orElse(described.map(EngineModel::loadMillis).orElse(UNKNOWN_LOAD_MILLIS));
        return PLAN_MILLIS + quickestMillis + TOLD_MILLIS;
    }

    private long leftMillis(KnownRunner runner, long loadMillis) {
        long passedMillis = (clock.nowNanos() - runner.loadingSinceNanos()) / Clock.NANOS_PER_MILLI;
        long leftMillis = loadMillis + TOLD_MILLIS - passedMillis;
        return leftMillis > 0 ? leftMillis : OVERDUE_MILLIS;
    }

    private static long loadMillis(KnownRunner runner, String model, Optional<EngineModel> described) {
        if (described.isEmpty()) {
            return UNKNOWN_LOAD_MILLIS;
        }
        return runner.weightsLocation(model).loadMillis(described.get());
    }

    private Optional<EngineModel> describe(String service, String model) {
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
