package org.arbutusstack.gateway.config;

/**
 * A model that an engine can load.
 *
 * @param name the name of the model
 * @param weightsMb the memory taken by its weights, in MB
 * @param adapterMb the memory taken by each of its adapters, in MB
 * @param loadMillis the time to load it from the weight store, in milliseconds
 * @param diskLoadMillis the time to load it from the disk of the runner's host, in milliseconds
 * @param memoryLoadMillis the time to load it from the main memory of the runner's host, in milliseconds
 */
public record EngineModel(
        String name, double weightsMb, double adapterMb, long loadMillis, long diskLoadMillis, long memoryLoadMillis) {}
