package org.arbutusstack.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Snapshot of the engines of a service and the demand for its models, the input of one decision of {@link
 * FleetPlanner}. Immutable.
 *
 * @param slots the number of requests that one runner processes concurrently
 * @param models the models by name
 * @param runners the runners that accept work
 * @param demand the demand by model name; a missing entry means no demand
 */
public record EngineFleet(int slots, Map<String, Model> models, List<Runner> runners, Map<String, ModelDemand> demand) {

    /** Copy the collections defensively. */
    public EngineFleet {
        models = Map.copyOf(models);
        runners = List.copyOf(runners);
        demand = Map.copyOf(demand);
    }

    ModelDemand demandFor(String model) {
        return demand.getOrDefault(model, ModelDemand.NONE);
    }

    /**
     * Model and the memory that it takes.
     *
     * @param name its name
     * @param memoryMb the memory of its weights, in mebibytes
     */
    public record Model(String name, double memoryMb) {}

    /**
     * Runner and what it holds.
     *
     * @param name its name
     * @param zone its availability zone
     * @param memoryMb the memory for weights and adapters, in mebibytes
     * @param adaptersMb the part of that memory that adapters take, in mebibytes
     * @param held the names of the models that are loaded or being loaded
     * @param busy whether it is executing an order
     * @param requests the number of requests that wait or run there
     * @param storedCopies the models whose weights it keeps outside accelerator memory, with the rank of the location:
     *     1 for main memory, 2 for disk
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

        /** Copy the collections defensively. */
        public Runner {
            held = Set.copyOf(held);
            storedCopies = Map.copyOf(storedCopies);
        }
    }

    /**
     * Demand for a model.
     *
     * @param requests the number of requests in progress, smoothed
     * @param waiting the number of requests that currently wait for a runner that holds the model
     * @param idleMillis the time since the last request, in milliseconds
     */
    public record ModelDemand(double requests, int waiting, long idleMillis) {

        static final ModelDemand NONE = new ModelDemand(0, 0, Long.MAX_VALUE);
    }
}
