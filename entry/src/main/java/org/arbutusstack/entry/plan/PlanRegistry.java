package org.arbutusstack.entry.plan;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusstack.model.plan.Plan;

/**
 * Registry of the latest plan of each service known to this process. An older plan never replaces a newer one.
 * Thread-safe.
 */
public final class PlanRegistry {

    private final Map<String, Plan> plans = new ConcurrentHashMap<>();

    /**
     * Register a plan if it is more recent than the registered one.
     *
     * @param plan the plan
     */
    public void offer(Plan plan) {
        plans.merge(plan.service(), plan, (kept, offered) -> offered.isAfter(kept) ? offered : kept);
    }

    /**
     * Return the plan of a service.
     *
     * @param service the name of the service
     * @return the latest known plan, or the empty plan if none is known
     */
    public Plan plan(String service) {
        return plans.getOrDefault(service, Plan.none(service));
    }

    /**
     * Return all registered plans.
     *
     * @return the plans by name of the service
     */
    public Map<String, Plan> plans() {
        return Map.copyOf(plans);
    }
}
