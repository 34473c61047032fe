package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Looks for a packing of a copy of each model on the runners of a service, with room for a transition.
 *
 * <p>The largest model goes first, to the runner that it fills best. One runner must have room left for one more copy
 * of the largest model, so that each can be replaced before its old copy goes. A packing that needs another order is
 * not found.
 */
public final class Packing {

    private Packing() {}

    /**
     * Looks for a packing.
     *
     * @param models the service's models
     * @param memorySizesMb the accelerator memory of each runner, in mebibytes
     * @return what is wrong, or empty if a packing was found
     */
    public static Optional<String> complaint(Collection<ModelSpec> models, Collection<Long> memorySizesMb) {
        if (models.isEmpty()) {
            return Optional.empty();
        }
        List<Long> freeMb = new ArrayList<>(memorySizesMb);
        List<ModelSpec> order = new ArrayList<>(models);
        order.sort(Comparator.comparingLong(ModelSpec::memoryMb).reversed().thenComparing(ModelSpec::name));
        long largestMb = order.get(0).memoryMb();
        int transition =
                freeMb.indexOf(freeMb.stream().max(Comparator.naturalOrder()).orElse(0L));
        if (freeMb.isEmpty() || freeMb.get(transition) < largestMb) {
            return Optional.of("model '" + order.get(0).name() + "' of " + largestMb + " MiB fits on no runner");
        }
        freeMb.set(transition, freeMb.get(transition) - largestMb);
        for (ModelSpec model : order) {
            int best = bestFit(freeMb, model.memoryMb());
            if (best < 0) {
                return Optional.of("no packing found: model '" + model.name() + "' of " + model.memoryMb()
                        + " MiB has no room beside the larger ones and " + largestMb + " MiB for a transition");
            }
            freeMb.set(best, freeMb.get(best) - model.memoryMb());
        }
        return Optional.empty();
    }

    private static int bestFit(List<Long> freeMb, long memoryMb) {
        int best = -1;
        for (int index = 0; index < freeMb.size(); index++) {
            boolean fits = freeMb.get(index) >= memoryMb;
            if (fits && (best < 0 || freeMb.get(index) < freeMb.get(best))) {
                best = index;
            }
        }
        return best;
    }
}
