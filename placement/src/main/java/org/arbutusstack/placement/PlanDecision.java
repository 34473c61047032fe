package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;

/**
 * Decision of a {@link Planner}. Immutable.
 *
 * @param modelsByRunner the keys of the models that each runner is to hold, by runner name
 * @param releasedByRunner the keys of the models that each runner may unload, by runner name
 */
public record PlanDecision(Map<String, List<String>> modelsByRunner, Map<String, List<String>> releasedByRunner) {

    /** Copy the maps defensively. */
    public PlanDecision {
        modelsByRunner = Map.copyOf(modelsByRunner);
        releasedByRunner = Map.copyOf(releasedByRunner);
    }
}
