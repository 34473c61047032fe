package org.arbutusstack.bench.load;

/**
 * The demand that a trace represents.
 *
 * @param requestsPerSecond the mean rate, in requests per second
 * @param seconds the length of the trace, in seconds
 * @param models the number of models, named {@code model-0} and so on
 * @param adapters the number of adapters, named {@code adapter-0} and so on; adapter {@code n} belongs to model {@code
 *     n} modulo the number of models
 * @param scenario how the demand changes over time
 */
public record Workload(double requestsPerSecond, long seconds, int models, int adapters, Scenario scenario) {}
