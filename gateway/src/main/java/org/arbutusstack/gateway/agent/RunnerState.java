package org.arbutusstack.gateway.agent;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what a runner said of itself at one moment.
 *
 * @param startedAtMillis when it started, in Unix milliseconds
 * @param orderSequence the orders accepted since then
 * @param leaving whether it takes no new work
 * @param remainingMillis the time until it is taken away, negative if that is not announced
 * @param busy whether it carries out an order for a model
 * @param queued the requests without a first event, whether they wait or their prompts are being read
 * @param running the requests that run
 * @param usedTokens the tokens in memory that cannot yield
 * @param capacityTokens the tokens that fit
 * @param versions the models held, with the version of each one's weights
 * @param adapters the adapters ready, by model
 * @param pendingAdapters the adapters on their way, as model, slash, adapter
 * @param inMemory the models of which a copy lies in main memory
 * @param onDisk the models of which a copy lies on disk
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

    /** Copies the collections. */
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
