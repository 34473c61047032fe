package org.arbutusstack.entry.plan;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusstack.model.plan.Plan;

/**
 * Keeps the latest plan of each service that this process has seen; an older one never replaces a newer one.
 *
 * <p>Safe for use by any thread.
 */
public final class PlanRegistry {

    private final Map<String, Plan> plans = new ConcurrentHashMap<>();

    /**
     * Takes a plan if it is later than the one kept.
     *
     * @param plan the plan
     */
    public void offer(Plan plan) {
        plans.merge(plan.service(), plan, (kept, offered) -> offered.isAfter(kept) ? offered : kept);
    }

    /**
     * Finds the plan of a service.
     *
     * @param service the service
     * @return the latest plan seen, the empty plan if none was
     */
    public Plan plan(String service) {
        return plans.getOrDefault(service, Plan.none(service));
    }

    /**
     * Lists the plans.
     *
     * @return the plans by service
     */
    public Map<String, Plan> plans() {
        return Map.copyOf(plans);
    }
}
