package org.arbutusstack.bench.load;

/**
 * Describes the demand of a trace.
 *
 * @param requestsPerSecond the mean rate
 * @param seconds the length of the trace, in seconds
 * @param models the number of models, named {@code model-0} and so on
 * @param adapters the number of adapters, named {@code adapter-0} and so on; each adapts the model of its number modulo
 *     the number of models
 * @param scenario how the demand moves
 */
public record Workload(double requestsPerSecond, long seconds, int models, int adapters, Scenario scenario) {}
