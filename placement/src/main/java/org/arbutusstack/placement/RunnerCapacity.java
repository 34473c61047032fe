package org.arbutusstack.placement;

import java.util.Set;

/**
 * Describes a runner as a planner sees it.
 *
 * @param name the runner's name
 * @param zone its availability zone
 * @param memorySizeMb its accelerator memory, in mebibytes
 * @param readyModels the names of the models that it reports ready
 */
public record RunnerCapacity(String name, String zone, long memorySizeMb, Set<String> readyModels) {

    /** Copies the set. */
    public RunnerCapacity {
        readyModels = Set.copyOf(readyModels);
    }
}
