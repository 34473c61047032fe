package org.arbutusstack.entry.plan;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.store.StoreResult;

/** Metrics of plans written and of the model copies that they add and remove. Thread-safe. */
final class PlannerMetrics {

    private final Counter plans;

    private final Counter placementChanges;

    PlannerMetrics(PrometheusRegistry registry) {
        plans = Counter.builder()
                .name("arbutus_planner_plans_total")
                .help("plans sent to the key-value service by outcome")
                .labelNames("service", "outcome")
                .register(registry);
        placementChanges = Counter.builder()
                .name("arbutus_planner_copies_total")
                .help("model copies that plans add and give up")
                .labelNames("service", "change")
                .register(registry);
    }

    void planned(String service, StoreResult<Long> result) {
        String outcome = result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        plans.labelValues(service, outcome).inc();
    }

    void placementChanged(String service, Plan before, Plan after) {
        Set<String> earlier = copies(before);
        Set<String> later = copies(after);
        Set<String> added = new HashSet<>(later);
        added.removeAll(earlier);
        earlier.removeAll(later);
        placementChanges.labelValues(service, "added").inc(added.size());
        placementChanges.labelValues(service, "given_up").inc(earlier.size());
    }

    private static Set<String> copies(Plan plan) {
        Set<String> copies = new HashSet<>();
        plan.modelsByRunner().forEach((runner, keys) -> keys.forEach(key -> copies.add(runner + ' ' + key)));
        return copies;
    }
}
