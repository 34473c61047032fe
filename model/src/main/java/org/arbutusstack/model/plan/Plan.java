package org.arbutusstack.model.plan;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.kernel.Assert;

/**
 * An assignment of models to the runners of a service, with the models that each runner may unload.
 *
 * <p>Models are identified by key: name and version joined by an at sign. Plans are ordered by fence, then by sequence;
 * a process adopts only a later plan. Immutable.
 *
 * @param service the name of the service
 * @param fence the fencing token of the lease under which the plan was written
 * @param sequence the sequence number of the plan under that fence
 * @param stateSequence the log sequence of the desired state from which the plan was computed
 * @param modelsByRunner the keys of the models that each runner is to hold
 * @param releasedByRunner the keys of the models that each runner may unload, since the planner has seen the models
 *     that replace them ready
 */
public record Plan(
        String service,
        long fence,
        long sequence,
        long stateSequence,
        Map<String, List<String>> modelsByRunner,
        Map<String, List<String>> releasedByRunner) {

    /** Make defensive copies of the maps. */
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
     * Create the plan that applies before the first plan of a service.
     *
     * @param service the name of the service
     * @return an empty plan that precedes every other plan
     */
    public static Plan none(String service) {
        return new Plan(service, 0, 0, 0, Map.of(), Map.of());
    }

    /**
     * Return whether this plan is later than another plan of the service.
     *
     * @param other the other plan
     * @return whether this plan has a higher fence, or the same fence and a higher sequence
     */
    public boolean isAfter(Plan other) {
        return fence != other.fence ? fence > other.fence : sequence > other.sequence;
    }

    /**
     * Return the part of the plan that concerns one runner.
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
     * Return the models that a runner is to hold.
     *
     * @param runner the runner's name
     * @return the keys of the models, empty for an unknown runner
     */
    public List<String> modelsOf(String runner) {
        return modelsByRunner.getOrDefault(runner, List.of());
    }

    /**
     * Return the models that a runner may unload.
     *
     * @param runner the runner's name
     * @return the keys of the models, empty for an unknown runner
     */
    public List<String> releasedOf(String runner) {
        return releasedByRunner.getOrDefault(runner, List.of());
    }
}
