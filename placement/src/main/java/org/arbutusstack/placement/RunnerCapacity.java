package org.arbutusstack.placement;

import java.util.Map;
import java.util.Set;

/**
 * Describes a runner as a planner sees it.
 *
 * @param name the runner's name
 * @param zone its availability zone
 * @param memorySizeMb its accelerator memory, in mebibytes
 * @param modelsMb the part of it committed to models, in mebibytes
 * @param readyKeys the keys of the models that it offers
 * @param otherKeys the keys of the models that take memory there but are not offered
 * @param demand the requests waiting or running there by model
 */
public record RunnerCapacity(
        String name,
        String zone,
        long memorySizeMb,
        long modelsMb,
        Set<String> readyKeys,
        Set<String> otherKeys,
        Map<String, Integer> demand) {

    /** Copies the collections. */
    public RunnerCapacity {
        readyKeys = Set.copyOf(readyKeys);
        otherKeys = Set.copyOf(otherKeys);
        demand = Map.copyOf(demand);
    }

    int requests() {
        return demand.values().stream().mapToInt(Integer::intValue).sum();
    }

    boolean holds(String key) {
        return readyKeys.contains(key) || otherKeys.contains(key);
    }
}
