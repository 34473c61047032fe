package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Best-fit decreasing check of whether one copy of each model fits on the runners of a service, with memory to spare
 * for replacing a model.
 *
 * <p>Models are placed from the largest to the smallest, each on the runner that it leaves with the least free memory.
 * The memory of one more copy of the largest model is set aside on the largest runner, so that every model can be
 * replaced before its old copy is unloaded. As a heuristic, the check misses packings that need another order.
 */
public final class Packing {

    private Packing() {}

    /**
     * Check whether the models fit.
     *
     * @param models the models of the service
     * @param memorySizesMb the accelerator memory of each runner, in mebibytes
     * @return why the models do not fit, or empty if a packing was found
     */
    public static Optional<String> complaint(Collection<ModelSpec> models, Collection<Long> memorySizesMb) {
        if (models.isEmpty()) {
            return Optional.empty();
        }
        List<Long> freeMb = new ArrayList<>(memorySizesMb);
        List<ModelSpec> largestFirst = new ArrayList<>(models);
        largestFirst.sort(
                Comparator.comparingLong(ModelSpec::memoryMb).reversed().thenComparing(ModelSpec::name));
        long largestMb = largestFirst.get(0).memoryMb();
        int transitionRunner =
                freeMb.indexOf(freeMb.stream().max(Comparator.naturalOrder()).orElse(0L));
        if (freeMb.isEmpty() || freeMb.get(transitionRunner) < largestMb) {
            return Optional.of("model '" + largestFirst.get(0).name() + "' of " + largestMb + " MiB fits on no runner");
        }
        freeMb.set(transitionRunner, freeMb.get(transitionRunner) - largestMb);
        for (ModelSpec model : largestFirst) {
            int bestIndex = bestFit(freeMb, model.memoryMb());
            if (bestIndex < 0) {
                return Optional.of("no packing found: model '" + model.name() + "' of " + model.memoryMb()
                        + " MiB has no room beside the larger ones and " + largestMb + " MiB for a transition");
            }
            freeMb.set(bestIndex, freeMb.get(bestIndex) - model.memoryMb());
        }
        return Optional.empty();
    }

    private static int bestFit(List<Long> freeMb, long memoryMb) {
        int bestIndex = -1;
        for (int index = 0; index < freeMb.size(); index++) {
            boolean fits = freeMb.get(index) >= memoryMb;
            if (fits && (bestIndex < 0 || freeMb.get(index) < freeMb.get(bestIndex))) {
                bestIndex = index;
            }
        }
        return bestIndex;
    }
}
