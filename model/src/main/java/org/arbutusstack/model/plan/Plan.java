package org.arbutusstack.model.plan;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.kernel.Assert;

/**
 * States which models each runner of a service is to hold and which it may unload.
 *
 * <p>Models are named by key: name and version joined by an at sign. Plans are ordered by fence, then by sequence; a
 * process adopts only a later one. Immutable.
 *
 * @param service the service
 * @param fence the fencing number of the lease under which it was written
 * @param sequence the number of the plan under that fence
 * @param stateSequence the log sequence of the desired state that it was made from
 * @param modelsByRunner the keys of the models that each runner is to hold
 * @param releasedByRunner the keys of the models that each runner may unload, since the planner saw others ready that
 *     replace them
 */
public record Plan(
        String service,
        long fence,
        long sequence,
        long stateSequence,
        Map<String, List<String>> modelsByRunner,
        Map<String, List<String>> releasedByRunner) {

    /** Copies the maps. */
    public Plan {
        Assert.hasText(service, "service");
        modelsByRunner = copy(modelsByRunner);
        releasedByRunner = copy(releasedByRunner);
    }

    private static Map<String, List<String>> copy(Map<String, List<String>> keysByRunner) {
        TreeMap<String, List<String>> copy = new TreeMap<>();
        keysByRunner.forEach((runner, keys) -> copy.put(runner, List.copyOf(keys)));
        return Collections.unmodifiableMap(copy);
    }

    /**
     * Creates the plan that stands before the first one.
     *
     * @param service the service
     * @return an empty plan that any other follows
     */
    public static Plan none(String service) {
        return new Plan(service, 0, 0, 0, Map.of(), Map.of());
    }

    /**
     * Tells whether this plan follows another.
     *
     * @param other the other plan
     * @return whether this one is later
     */
    public boolean isAfter(Plan other) {
        return fence != other.fence ? fence > other.fence : sequence > other.sequence;
    }

    /**
     * Keeps what concerns one runner.
     *
     * @param runner the runner's name
     * @return the plan without the other runners
     */
    public Plan onlyFor(String runner) {
        return new Plan(
                service,
                fence,
                sequence,
                stateSequence,
                Map.of(runner, modelsOf(runner)),
                Map.of(runner, releasedOf(runner)));
    }

    /**
     * Lists the models that a runner is to hold.
     *
     * @param runner the runner's name
     * @return the models' keys
     */
    public List<String> modelsOf(String runner) {
        return modelsByRunner.getOrDefault(runner, List.of());
    }

    /**
     * Lists the models that a runner may unload.
     *
     * @param runner the runner's name
     * @return the models' keys
     */
    public List<String> releasedOf(String runner) {
        return releasedByRunner.getOrDefault(runner, List.of());
    }
}
