package org.arbutusstack.placement;

/**
 * Decides which models each runner of a service is to hold and which it may unload.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 *
 * @see CopyPlanner
 */
public interface Planner {

    /**
     * Decides.
     *
     * @param input what the plan is made from
     * @return the decision
     */
    PlanDecision decide(PlanInput input);
}
