package org.arbutusstack.gateway.agent;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State that a runner reported at one moment.
 *
 * @param startedAtMillis when it started, in Unix milliseconds
 * @param orderSequence the number of orders accepted since then
 * @param leaving whether it is draining and accepts no new requests
 * @param remainingMillis the time until it is removed, in milliseconds; negative if no removal is announced
 * @param busy whether it is executing an order for a model
 * @param queued the number of requests without a first event, whether they wait or their prompts are being read
 * @param running the number of requests being executed
 * @param usedTokens the number of tokens in memory that cannot be evicted
 * @param capacityTokens the number of tokens that fit into memory
 * @param versions the version of the weights of each model held, by model
 * @param adapters the adapters ready, by model
 * @param pendingAdapters the adapters being loaded, as model, slash, adapter
 * @param inMemory the models with a copy in the host's main memory
 * @param onDisk the models with a copy on the host's disk
 */
public record RunnerState(
        long startedAtMillis,
        long orderSequence,
        boolean leaving,
        long remainingMillis,
        boolean busy,
        int queued,
        int running,
        long usedTokens,
        long capacityTokens,
        Map<String, Long> versions,
        Map<String, Set<String>> adapters,
        List<String> pendingAdapters,
        Set<String> inMemory,
        Set<String> onDisk) {

    /** Copy the collections. */
    public RunnerState {
        versions = Map.copyOf(versions);
        adapters = Map.copyOf(adapters);
        pendingAdapters = List.copyOf(pendingAdapters);
        inMemory = Set.copyOf(inMemory);
        onDisk = Set.copyOf(onDisk);
    }

    boolean holds(String model) {
        return versions.containsKey(model);
    }

    Set<String> adaptersOf(String model) {
        return adapters.getOrDefault(model, Set.of());
    }

    int adapterCount() {
        return adapters.values().stream().mapToInt(Set::size).sum() + pendingAdapters.size();
    }
}
