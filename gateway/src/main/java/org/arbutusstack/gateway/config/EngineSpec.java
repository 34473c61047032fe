package org.arbutusstack.gateway.config;

import java.util.List;

/**
 * Describes the engines of a service.
 *
 * @param slots the requests that run at once
 * @param capacityTokens the tokens that fit in an engine's memory
 * @param weightsMb the memory for weights and adapters, in MB
 * @param adapterSlots the adapters held at once
 * @param loadsPerSecond the loads that the weight store permits over all runners
 * @param models the models
 */
public record EngineSpec(
        int slots,
        long capacityTokens,
        double weightsMb,
        int adapterSlots,
        double loadsPerSecond,
        List<EngineModel> models) {

    /** Copies the list. */
    public EngineSpec {
        models = List.copyOf(models);
    }
}
