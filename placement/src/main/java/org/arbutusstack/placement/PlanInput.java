package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Holds what a plan is made from. Immutable.
 *
 * @param models the service's models
 * @param runners the runners that can be reached
 * @param absentRunners the runners that were reached a moment ago; their copies are counted as long as others are ready
 * @param current the plan in force
 * @param demand the demand by model
 */
public record PlanInput(
        List<ModelSpec> models,
        List<RunnerCapacity> runners,
        Set<String> absentRunners,
        Plan current,
        Map<String, Demand> demand) {

    /** Copies the collections. */
    public PlanInput {
        models = List.copyOf(models);
        runners = List.copyOf(runners);
        absentRunners = Set.copyOf(absentRunners);
        demand = Map.copyOf(demand);
    }

    Demand demandFor(ModelSpec model) {
        return demand.getOrDefault(model.name(), Demand.NONE);
    }
}
