package org.arbutusstack.bench.deployment;

/**
 * Counts loads and unloads. An unload of a model whose load elsewhere came before it is a relocation.
 *
 * @param modelLoads the loads of models
 * @param modelUnloads the unloads of models
 * @param adapterLoads the loads of adapters
 * @param adapterUnloads the unloads of adapters
 * @param memoryViolations the times that an engine's memory was committed beyond its size
 */
public record Moves(long modelLoads, long modelUnloads, long adapterLoads, long adapterUnloads, long memoryViolations) {

    /**
     * Computes the moves since an earlier instant.
     *
     * @param earlier the moves until then
     * @return the difference
     */
    public Moves since(Moves earlier) {
        return new Moves(
                modelLoads - earlier.modelLoads,
                modelUnloads - earlier.modelUnloads,
                adapterLoads - earlier.adapterLoads,
                adapterUnloads - earlier.adapterUnloads,
                memoryViolations - earlier.memoryViolations);
    }
}
