package org.arbutusstack.gateway.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.EngineFleet;
import org.arbutusstack.wire.frame.ModelDemandFrame;

/** Smoothed sum of the requests in flight at all entries for each model. Confined to the entry's event loop. */
final class DemandAggregator {

    /** Time for which an entry's report counts; several report intervals. */
    private static final long REPORT_VALIDITY_MILLIS = 1_500;

    /**
     * Time constants of the smoothing: a rise counts within half a second, a fall after seconds, so that copies stay.
     */
    private static final double RISE_CONSTANT_MILLIS = 400;

    private static final double FALL_CONSTANT_MILLIS = 3_000;

    /** Demand restored for the most requested model; enough for a first copy, too little for a second one. */
    private static final double MAX_RESTORED = 5;

    /** Minimum demand restored for other models; a model without a copy is loaded for one request in flight. */
    private static final double MIN_RESTORED = 1.5;

    private final Clock clock;

    private final Map<String, Report> reportsByEntry = new HashMap<>();

    /** Smoothed demand by service and model. */
    private final Map<String, Map<String, SmoothedDemand>> smoothed = new HashMap<>();

    private final Map<String, Long> smoothedAtNanos = new HashMap<>();

    DemandAggregator(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Record the demand reported by an entry, in place of its earlier report for the service. */
    void receive(ModelDemandFrame frame) {
        reportsByEntry.put(
                frame.entry() + '\n' + frame.service(), new Report(frame, clock.deadlineNanos(REPORT_VALIDITY_MILLIS)));
    }

    /**
     * Restore the demand that an earlier planner persisted, scaled down; larger demand already known is not lowered.
     *
     * @param service the name of the service
     * @param record the persisted demand
     */
    void restore(String service, DemandRecord record) {
        Map<String, Integer> persisted = record.requests().getOrDefault(service, Map.of());
        int highest =
                persisted.values().stream().mapToInt(Integer::intValue).max().orElse(1);
        persisted.forEach((model, count) -> {
            SmoothedDemand state = stateOf(service, model);
            double restored = Math.max(MIN_RESTORED, MAX_RESTORED * count / highest);
            state.requests = Math.max(state.requests, restored);
        });
    }

    private SmoothedDemand stateOf(String service, String model) {
        return smoothed.computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(model, name -> new SmoothedDemand(clock.nowNanos()));
    }

    /**
     * Update the smoothed demand by the time elapsed and return it.
     *
     * @param service the name of the service
     * @param models the names of its models
     * @return the demand by model
     */
    Map<String, EngineFleet.ModelDemand> demand(String service, Set<String> models) {
        reportsByEntry.values().removeIf(report -> clock.isPast(report.untilNanos()));
        Map<String, Integer> inFlight = new HashMap<>();
        Map<String, Integer> waiting = new HashMap<>();
        for (Report report : reportsByEntry.values()) {
            if (report.frame().service().equals(service)) {
                report.frame().inFlight().forEach((model, count) -> inFlight.merge(model, count, Integer::sum));
                report.frame().waiting().forEach((model, count) -> waiting.merge(model, count, Integer::sum));
            }
        }
        Long previousNanos = smoothedAtNanos.put(service, clock.nowNanos());
        double elapsedMillis =
                previousNanos == null ? 0 : (clock.nowNanos() - previousNanos) / (double) Clock.NANOS_PER_MILLI;
        Map<String, EngineFleet.ModelDemand> demand = new HashMap<>();
        for (String model : new HashSet<>(models)) {
            SmoothedDemand state = stateOf(service, model);
            state.update(inFlight.getOrDefault(model, 0), elapsedMillis, clock.nowNanos());
            long idleMillis = (clock.nowNanos() - state.requestedAtNanos) / Clock.NANOS_PER_MILLI;
            demand.put(model, new EngineFleet.ModelDemand(state.requests, waiting.getOrDefault(model, 0), idleMillis));
        }
        return demand;
    }

    /**
     * Return the requests that wait for a model at one version of the software only, by version and model.
     *
     * @param service the name of the service
     * @return the number of requests
     */
    Map<String, Map<String, Integer>> waitingByVersion(String service) {
        Map<String, Map<String, Integer>> sum = new HashMap<>();
        for (Report report : reportsByEntry.values()) {
            if (report.frame().service().equals(service) && !clock.isPast(report.untilNanos())) {
                report.frame()
                        .waitingByVersion()
                        .forEach((version, models) ->
                                models.forEach((model, count) -> sum.computeIfAbsent(version, key -> new HashMap<>())
                                        .merge(model, count, Integer::sum)));
            }
        }
        return sum;
    }

    /** Last report of one entry for one service. */
    private record Report(ModelDemandFrame frame, long untilNanos) {}

    /** Smoothed demand for one model. */
    private static final class SmoothedDemand {

        private double requests;

        private long requestedAtNanos;

        SmoothedDemand(long nowNanos) {
            requestedAtNanos = nowNanos;
        }

        void update(int current, double elapsedMillis, long nowNanos) {
            double constantMillis = current > requests ? RISE_CONSTANT_MILLIS : FALL_CONSTANT_MILLIS;
            double weight = 1 - Math.exp(-elapsedMillis / constantMillis);
            requests += weight * (current - requests);
            if (current > 0) {
                requestedAtNanos = nowNanos;
            }
        }
    }
}
