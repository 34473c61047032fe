package org.arbutusstack.bench.deployment;

/**
 * Numbers of loads and unloads. A model that is loaded on one runner and then unloaded on another has been relocated.
 *
 * @param modelLoads the number of loads of models
 * @param modelUnloads the number of unloads of models
 * @param adapterLoads the number of loads of adapters
 * @param adapterUnloads the number of unloads of adapters
 * @param memoryViolations the number of times that the memory of an engine was overcommitted
 */
public record PlacementChanges(
        long modelLoads, long modelUnloads, long adapterLoads, long adapterUnloads, long memoryViolations) {

    /**
     * Return the changes since an earlier count.
     *
     * @param earlier the earlier count
     * @return the difference
     */
    public PlacementChanges since(PlacementChanges earlier) {
        return new PlacementChanges(
                modelLoads - earlier.modelLoads,
                modelUnloads - earlier.modelUnloads,
                adapterLoads - earlier.adapterLoads,
                adapterUnloads - earlier.adapterUnloads,
                memoryViolations - earlier.memoryViolations);
    }
}
