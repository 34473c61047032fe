package org.arbutusstack.gateway.agent;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.runner.WeightsLocation;
import org.arbutusstack.wire.frame.RunnerStatusFrame;

/** Factory for the statuses that an agent publishes. */
final class StatusFrames {

    /** Placeholder for a model that the runner loads or unloads by an order of an earlier run of this process. */
    private static final String UNKNOWN_MODEL = "?";

    private StatusFrames() {}

    /**
     * Create the status of a runner.
     *
     * @param state the state that the runner reported
     * @param issuer the issuer of its orders
     * @param suspected whether entries are to prefer other runners
     * @param links the number of linked entries
     * @param promptTokens the number of tokens of the prompts that entries have recently sent
     * @return the status
     */
    static RunnerStatusFrame of(
            RunnerState state, OrderIssuer issuer, boolean suspected, int links, long promptTokens) {
        List<RunnerStatusFrame.HeldModel> models = new ArrayList<>();
        state.versions().forEach((model, version) -> {
            if (!model.equals(issuer.unloading())) {
                models.add(new RunnerStatusFrame.HeldModel(
                        model,
                        version,
                        state.adaptersOf(model).stream().sorted().toList()));
            }
        });
        models.sort(Comparator.comparing(RunnerStatusFrame.HeldModel::name));
        Map<String, Integer> storedCopies = new HashMap<>();
        state.onDisk().forEach(model -> storedCopies.put(model, WeightsLocation.ON_DISK.rank()));
        state.inMemory().forEach(model -> storedCopies.put(model, WeightsLocation.IN_MAIN_MEMORY.rank()));
        return new RunnerStatusFrame(
                state.startedAtMillis(),
                state.orderSequence(),
                !state.leaving(),
                state.remainingMillis(),
                state.queued(),
                state.running(),
                state.usedTokens(),
                state.capacityTokens(),
                models,
                state.pendingAdapters(),
                storedCopies,
                state.busy() && issuer.loading().isEmpty() ? UNKNOWN_MODEL : issuer.loading(),
                suspected,
                links,
                StatusSchedule.statusIntervalMillis(links),
                promptTokens);
    }
}
