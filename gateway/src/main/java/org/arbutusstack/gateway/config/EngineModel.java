package org.arbutusstack.gateway.config;

/**
 * Describes a model that an engine can load.
 *
 * @param name the model's name
 * @param weightsMb the memory that its weights take, in MB
 * @param adapterMb the memory that each of its adapters takes, in MB
 * @param loadMillis how long a load from the weight store takes
 * @param diskLoadMillis how long a load from the runner's disk takes
 * @param memoryLoadMillis how long a load from the runner's main memory takes
 */
public record EngineModel(
        String name, double weightsMb, double adapterMb, long loadMillis, long diskLoadMillis, long memoryLoadMillis) {}
