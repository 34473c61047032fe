package org.arbutusstack.bench.policy;

/**
 * Holds the result of one run.
 *
 * @param policy the policy
 * @param load the load as a share of what all engines can answer
 * @param seed the seed
 * @param requests the requests counted
 * @param attainment the share of them served in time
 * @param inTimePerAccelerator the requests served in time by each accelerator in a second
 * @param refused the requests refused
 * @param modelLoads the loads of models after the first copies were ready
 * @param modelUnloads the unloads of models
 * @param adapterLoads the loads of adapters
 * @param firstTokenP50Millis the median time to the first token, in milliseconds
 * @param firstTokenP95Millis the 95th percentile of it, in milliseconds
 * @param fewestReachable the fewest models that had a ready copy at any time after the first copies were ready
 */
record PolicyResult(
        String policy,
        double load,
        long seed,
        int requests,
        double attainment,
        double inTimePerAccelerator,
        int refused,
        int modelLoads,
        int modelUnloads,
        int adapterLoads,
        double firstTokenP50Millis,
        double firstTokenP95Millis,
        int fewestReachable) {

    /** Adds the moves of models. */
    int modelMoves() {
        return modelLoads + modelUnloads;
    }
}
