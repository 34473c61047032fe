package org.arbutusstack.placement;

import java.util.Map;
import java.util.Set;

/**
 * Demand that only some runners of a fleet can serve: a copy of the model elsewhere is of no use to it. Immutable.
 *
 * @param runners the names of these runners
 * @param waiting the number of requests that wait for a model there, by model
 */
public record BoundDemand(Set<String> runners, Map<String, Integer> waiting) {

    /** Copy the collections. */
    public BoundDemand {
        runners = Set.copyOf(runners);
        waiting = Map.copyOf(waiting);
    }
}
