package org.arbutusstack.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/** Exponential smoothing of the demand for each model, as runners report it. Not thread-safe. */
public final class DemandTracker {

    private static final double NEGLIGIBLE_REQUESTS = 0.01;

    private final double smoothingNanos;

    private final double holdNanos;

    private final Map<String, Demand> demand = new HashMap<>();

    private long updatedAtNanos;

    /**
     * Create a tracker.
     *
     * @param smoothMillis the time constant of the smoothed demand, in milliseconds
     * @param holdMillis the time constant with which a peak fades, in milliseconds
     */
    public DemandTracker(long smoothMillis, long holdMillis) {
        smoothingNanos = Assert.atLeast(smoothMillis, 1, "smoothMillis") * (double) Clock.NANOS_PER_MILLI;
        holdNanos = Assert.atLeast(holdMillis, 1, "holdMillis") * (double) Clock.NANOS_PER_MILLI;
    }

    /**
     * Update the demand from the reports of all runners.
     *
     * @param runners the runners with the demand that each reported
     * @param nowNanos the current time of the process clock, in nanoseconds
     */
    public void update(Collection<RunnerCapacity> runners, long nowNanos) {
        Map<String, Integer> reported = new HashMap<>();
        runners.forEach(
                runner -> runner.demand().forEach((model, count) -> reported.merge(model, count, Integer::sum)));
        double elapsedNanos = demand.isEmpty() ? smoothingNanos : nowNanos - updatedAtNanos;
        updatedAtNanos = nowNanos;
        Set<String> models = new HashSet<>(demand.keySet());
        models.addAll(reported.keySet());
        models.forEach(model -> update(model, reported.getOrDefault(model, 0), elapsedNanos));
    }

    private void update(String model, int reported, double elapsedNanos) {
        Demand previous = demand.getOrDefault(model, Demand.NONE);
        double weight = 1 - Math.exp(-elapsedNanos / smoothingNanos);
        double requests = previous.requests() + weight * (reported - previous.requests());
        double peak = Math.max(requests, previous.peakRequests() * Math.exp(-elapsedNanos / holdNanos));
        if (peak < NEGLIGIBLE_REQUESTS) {
            demand.remove(model);
            return;
        }
        demand.put(model, new Demand(requests, peak));
    }

    /**
     * Return the demand for each model.
     *
     * @return the smoothed demand and its peak by model name, without models of negligible demand
     */
    public Map<String, Demand> demand() {
        return Map.copyOf(demand);
    }
}
