package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Decides which models each runner of a service is to hold.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 *
 * @see SpreadingPlanner
 */
public interface Planner {

    /**
     * Decides.
     *
     * @param models the service's models, ordered by name
     * @param runners the runners that can be reached
     * @param current the plan in force
     * @return the models that each runner is to hold
     */
    Map<String, List<String>> assign(List<ModelSpec> models, List<RunnerCapacity> runners, Plan current);
}
