package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Describes the engines of a service and what is asked of them, for one decision on what to load.
 *
 * @param slots the requests that one runner works on at once
 * @param models the models by name
 * @param runners the runners that take work
 * @param demand what is asked of each model
 */
public record EngineFleet(int slots, Map<String, Model> models, List<Runner> runners, Map<String, ModelDemand> demand) {

    /** Copies the collections. */
    public EngineFleet {
        models = Map.copyOf(models);
        runners = List.copyOf(runners);
        demand = Map.copyOf(demand);
    }

    ModelDemand demandFor(String model) {
        return demand.getOrDefault(model, ModelDemand.NONE);
    }

    /**
     * Describes a model.
     *
     * @param name its name
     * @param memoryMb the memory of its weights
     */
    public record Model(String name, double memoryMb) {}

    /**
     * Describes a runner.
     *
     * @param name its name
     * @param zone its availability zone
     * @param memoryMb the memory for weights and adapters
     * @param adaptersMb the part of it that adapters take
     * @param held the models that it holds or is loading
     * @param busy whether it carries out an order
     * @param requests the requests that wait or run there
     * @param storedCopies the models of which it keeps a copy outside accelerator memory, with the rank of where: 1 in
     *     main memory, 2 on disk
     */
    public record Runner(
            String name,
            String zone,
            double memoryMb,
            double adaptersMb,
            Set<String> held,
            boolean busy,
            int requests,
            Map<String, Integer> storedCopies) {

        /** Copies the collections. */
        public Runner {
            held = Set.copyOf(held);
            storedCopies = Map.copyOf(storedCopies);
        }
    }

    /**
     * Tells what is asked of a model.
     *
     * @param requests the requests in hand, smoothed
     * @param waiting the requests that wait for a runner that holds it, at present
     * @param idleMillis how long nothing was asked
     */
    public record ModelDemand(double requests, int waiting, long idleMillis) {

        static final ModelDemand NONE = new ModelDemand(0, 0, Long.MAX_VALUE);
    }
}
