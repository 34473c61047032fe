package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Input from which a {@link Planner} decides the plan of one service. Immutable.
 *
 * @param models the models of the service
 * @param runners the reachable runners
 * @param absentRunners the names of runners that became unreachable a short time ago; the copies planned there still
 *     count, unless no reachable runner is assigned a copy of the model
 * @param current the plan that is in force
 * @param demand the demand by model name; a missing entry means no demand
 */
public record PlanInput(
        List<ModelSpec> models,
        List<RunnerCapacity> runners,
        Set<String> absentRunners,
        Plan current,
        Map<String, Demand> demand) {

    /** Copy the collections defensively. */
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
