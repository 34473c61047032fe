package org.arbutusstack.gateway.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.EngineFleet;
import org.arbutusstack.wire.frame.ModelDemandFrame;

/** Adds up and smooths what all entries have in hand for each model. Used by the entry's loop only. */
final class DemandAggregator {

    /** An entry's word counts for several of its periods. */
    private static final long VALID_MILLIS = 1_500;

    /** Rising demand is believed within half a second, falling demand only after some seconds, so that copies stay. */
    private static final double RISE_MILLIS = 400;

    private static final double FALL_MILLIS = 3_000;

    /** What is recalled of the model asked for most: enough for a first copy, too little for a second one. */
    private static final double MOST_RECALLED = 5;

    /** What is recalled of the others at least: a model with one request in hand is loaded if it has no copy. */
    private static final double LEAST_RECALLED = 1.5;

    private final Clock clock;

    private final Map<String, Told> toldByEntry = new HashMap<>();

    /** By service and model. */
    private final Map<String, Map<String, Smoothed>> smoothed = new HashMap<>();

    private final Map<String, Long> smoothedAtNanos = new HashMap<>();

    DemandAggregator(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    void receive(ModelDemandFrame frame) {
        toldByEntry.put(frame.entry() + '\n' + frame.service(), new Told(frame, clock.deadlineNanos(VALID_MILLIS)));
    }

    /** Takes the demand that an earlier planner kept for models of which nothing is known yet. */
    void recall(String service, DemandRecord record) {
        Map<String, Integer> kept = record.requests().getOrDefault(service, Map.of());
        int most = kept.values().stream().mapToInt(Integer::intValue).max().orElse(1);
        kept.forEach((model, count) -> {
            Smoothed state = stateOf(service, model);
            double recalled = Math.max(LEAST_RECALLED, MOST_RECALLED * count / most);
            state.requests = Math.max(state.requests, recalled);
        });
    }

    private Smoothed stateOf(String service, String model) {
        return smoothed.computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(model, name -> new Smoothed(clock.nowNanos()));
    }

    /** Takes the time passed into account and tells the demand for the models of a service. */
    Map<String, EngineFleet.ModelDemand> demand(String service, Set<String> models) {
        toldByEntry.values().removeIf(told -> clock.isPast(told.untilNanos()));
        Map<String, Integer> inHand = new HashMap<>();
        Map<String, Integer> waiting = new HashMap<>();
        for (Told told : toldByEntry.values()) {
            if (told.frame().service().equals(service)) {
                told.frame().inFlight().forEach((model, count) -> inHand.merge(model, count, Integer::sum));
                told.frame().waiting().forEach((model, count) -> waiting.merge(model, count, Integer::sum));
            }
        }
        Long beforeNanos = smoothedAtNanos.put(service, clock.nowNanos());
        double passedMillis =
                beforeNanos == null ? 0 : (clock.nowNanos() - beforeNanos) / (double) Clock.NANOS_PER_MILLI;
        Map<String, EngineFleet.ModelDemand> demand = new HashMap<>();
        for (String model : new HashSet<>(models)) {
            Smoothed state = stateOf(service, model);
            state.update(inHand.getOrDefault(model, 0), passedMillis, clock.nowNanos());
            long idleMillis = (clock.nowNanos() - state.askedAtNanos) / Clock.NANOS_PER_MILLI;
            demand.put(model, new EngineFleet.ModelDemand(state.requests, waiting.getOrDefault(model, 0), idleMillis));
        }
        return demand;
    }

    /** Holds what one entry said last. */
    private record Told(ModelDemandFrame frame, long untilNanos) {}

    /** Holds the smoothed demand for one model. */
    private static final class Smoothed {

        private double requests;

        private long askedAtNanos;

        Smoothed(long nowNanos) {
            askedAtNanos = nowNanos;
        }

        void update(int present, double passedMillis, long nowNanos) {
            double spanMillis = present > requests ? RISE_MILLIS : FALL_MILLIS;
            double weight = 1 - Math.exp(-passedMillis / spanMillis);
            requests += weight * (present - requests);
            if (present > 0) {
                askedAtNanos = nowNanos;
            }
        }
    }
}
