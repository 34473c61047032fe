package org.arbutusstack.bench.policy;

import org.arbutusstack.bench.load.Scenario;

/**
 * Parameters of one run of a policy.
 *
 * @param policy the policy to run
 * @param load the load as a share of the rate that all engines of the deployment can serve
 * @param seconds the length of the trace, in seconds
 * @param seed the seed of the trace
 * @param scenario how the demand changes over time
 * @param runners the number of runners, each with one accelerator
 */
record PolicySetup(ComparedPolicy policy, double load, long seconds, long seed, Scenario scenario, int runners) {}
