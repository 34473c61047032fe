package org.arbutusstack.model.plan;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.kernel.Assert;

/**
 * States which models each runner of a service is to hold.
 *
 * <p>Plans are ordered by fence, then by sequence; a process adopts only a later one. Immutable.
 *
 * @param service the service
 * @param fence the fencing number of the lease under which it was written
 * @param sequence the number of the plan under that fence
 * @param stateSequence the log sequence of the desired state that it was made from
 * @param modelsByRunner the names of the models that each runner is to hold
 */
public record Plan(
        String service, long fence, long sequence, long stateSequence, Map<String, List<String>> modelsByRunner) {

    /** Copies the map. */
    public Plan {
        Assert.hasText(service, "service");
        TreeMap<String, List<String>> copy = new TreeMap<>();
        modelsByRunner.forEach((runner, models) -> copy.put(runner, List.copyOf(models)));
        modelsByRunner = java.util.Collections.unmodifiableMap(copy);
    }

    /**
     * Creates the plan that stands before the first one.
     *
     * @param service the service
     * @return an empty plan that any other follows
     */
    public static Plan none(String service) {
        return new Plan(service, 0, 0, 0, Map.of());
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
     * Lists the models that a runner is to hold.
     *
     * @param runner the runner's name
     * @return the models' names
     */
    public List<String> modelsOf(String runner) {
        return modelsByRunner.getOrDefault(runner, List.of());
    }
}
