package org.arbutusstack.placement;

/**
 * Strategy interface for deciding which models each runner of a service is to hold and which it may unload.
 *
 * <p>Implementations are stateless and thread-safe.
 *
 * @see CopyPlanner
 */
public interface Planner {

    /**
     * Decide the placement of models.
     *
     * @param input the models, runners, demand and current plan of the service
     * @return the models to hold and to release by runner
     */
    PlanDecision decide(PlanInput input);
}
