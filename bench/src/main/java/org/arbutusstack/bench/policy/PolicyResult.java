package org.arbutusstack.bench.policy;

/**
 * Result of one run of a policy.
 *
 * @param policy the name of the policy
 * @param load the load as a share of the rate that all engines can serve
 * @param seed the seed of the trace
 * @param requests the number of requests of the trace
 * @param attainment the share of the requests served in time, from zero to one
 * @param inTimePerAccelerator the requests served in time per accelerator and second
 * @param refused the number of refused requests
 * @param modelLoads the number of loads of models after the warm-up
 * @param modelUnloads the number of unloads of models in the whole run
 * @param adapterLoads the number of loads of adapters in the whole run
 * @param firstTokenP50Millis the median time to the first token, in milliseconds
 * @param firstTokenP95Millis the 95th percentile of the time to the first token, in milliseconds
 * @param fewestReachable the minimum number of models with a ready copy at any time after the warm-up
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

    /** Return the number of loads and unloads of models. */
    int modelChanges() {
        return modelLoads + modelUnloads;
    }
}
