package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;

/**
 * Holds a planner's decision. Immutable.
 *
 * @param modelsByRunner the keys of the models that each runner is to hold
 * @param releasedByRunner the keys of the models that each runner may unload
 */
public record PlanDecision(Map<String, List<String>> modelsByRunner, Map<String, List<String>> releasedByRunner) {

    /** Copies the maps. */
    public PlanDecision {
        modelsByRunner = Map.copyOf(modelsByRunner);
        releasedByRunner = Map.copyOf(releasedByRunner);
    }
}
