package org.arbutusstack.bench.policy;

import org.arbutusstack.bench.load.Scenario;

/**
 * States one run.
 *
 * @param policy the policy
 * @param load the load as a share of what all engines of the deployment can answer
 * @param seconds the length of the trace, in seconds
 * @param seed the seed of the demand
 * @param scenario how the demand moves
 * @param runners the number of runners, each with one accelerator
 */
record PolicySetup(ComparedPolicy policy, double load, long seconds, long seed, Scenario scenario, int runners) {}
