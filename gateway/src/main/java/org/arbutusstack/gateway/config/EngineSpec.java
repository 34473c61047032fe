package org.arbutusstack.gateway.config;

import java.util.List;

/**
 * Capacity of the engines of a service, and the models that they can load.
 *
 * @param slots the number of requests that an engine runs concurrently
 * @param capacityTokens the number of tokens that fit in the memory of an engine
 * @param weightsMb the memory for weights and adapters, in MB
 * @param adapterSlots the number of adapters that an engine holds at once
 * @param loadsPerSecond the load rate that the weight store permits to all runners together
 * @param models the models
 */
public record EngineSpec(
        int slots,
        long capacityTokens,
        double weightsMb,
        int adapterSlots,
        double loadsPerSecond,
        List<EngineModel> models) {

    /** Copy the list. */
    public EngineSpec {
        models = List.copyOf(models);
    }
}
