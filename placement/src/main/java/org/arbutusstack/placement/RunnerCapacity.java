package org.arbutusstack.placement;

import java.util.Map;
import java.util.Set;

/**
 * Memory, models and demand of one runner, as a planner uses them.
 *
 * @param name the runner's name
 * @param zone its availability zone
 * @param memorySizeMb its accelerator memory, in mebibytes
 * @param modelsMb the part of it committed to models, in mebibytes
 * @param readyKeys the keys of the models that are ready there
 * @param otherKeys the keys of the models that take memory there but are not ready
 * @param demand the number of requests that wait or run there, by model name
 */
public record RunnerCapacity(
        String name,
        String zone,
        long memorySizeMb,
        long modelsMb,
        Set<String> readyKeys,
        Set<String> otherKeys,
        Map<String, Integer> demand) {

    /** Copy the collections defensively. */
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
