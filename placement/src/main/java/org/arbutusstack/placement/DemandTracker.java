package org.arbutusstack.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/** Smooths the demand for each model that runners report. To be used by one thread. */
public final class DemandTracker {

    private static final double NEGLIGIBLE = 0.01;

    private final double smoothNanos;

    private final double holdNanos;

    private final Map<String, Demand> demand = new HashMap<>();

    private long updatedAtNanos;

    /**
     * Creates a tracker.
     *
     * @param smoothMillis the time constant of the smoothed demand, in milliseconds
     * @param holdMillis the time constant with which a peak fades, in milliseconds
     */
    public DemandTracker(long smoothMillis, long holdMillis) {
        smoothNanos = Assert.atLeast(smoothMillis, 1, "smoothMillis") * (double) Clock.NANOS_PER_MILLI;
        holdNanos = Assert.atLeast(holdMillis, 1, "holdMillis") * (double) Clock.NANOS_PER_MILLI;
    }

    /**
     * Takes what the runners report.
     *
     * @param runners the runners
     * @param nowNanos the present instant
     */
    public void update(Collection<RunnerCapacity> runners, long nowNanos) {
        Map<String, Integer> reported = new HashMap<>();
        runners.forEach(
                runner -> runner.demand().forEach((model, count) -> reported.merge(model, count, Integer::sum)));
        double passedNanos = demand.isEmpty() ? smoothNanos : nowNanos - updatedAtNanos;
        updatedAtNanos = nowNanos;
        Set<String> models = new HashSet<>(demand.keySet());
        models.addAll(reported.keySet());
        models.forEach(model -> update(model, reported.getOrDefault(model, 0), passedNanos));
    }

    private void update(String model, int reported, double passedNanos) {
        Demand before = demand.getOrDefault(model, Demand.NONE);
        double weight = 1 - Math.exp(-passedNanos / smoothNanos);
        double requests = before.requests() + weight * (reported - before.requests());
        double peak = Math.max(requests, before.peakRequests() * Math.exp(-passedNanos / holdNanos));
        if (peak < NEGLIGIBLE) {
            demand.remove(model);
            return;
        }
        demand.put(model, new Demand(requests, peak));
    }

    /**
     * Tells the demand for each model.
     *
     * @return the demand by model
     */
    public Map<String, Demand> demand() {
        return Map.copyOf(demand);
    }
}
