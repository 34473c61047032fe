package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * {@link Planner} that keeps copies in place, adds those that a {@link PlacementPolicy} wants as far as the number of
 * concurrent loads permits, and gives copies up only once their replacement is ready.
 *
 * <p>Models without a copy are placed first, then those below their minimum number of copies, then those with the
 * highest demand in excess of what their copies serve. If no runner has enough free memory, a surplus copy is given up.
 * If there is none, the only copy of another model is relocated: this plan adds its new copy, and a later plan gives up
 * the old one. Stateless and thread-safe.
 *
 * @see Layout
 */
public final class CopyPlanner implements Planner {

    private final PlacementPolicy policy;

    private final PlacementWeights weights;

    /**
     * Create a planner.
     *
     * @param policy the policy for the number of copies
     * @param weights the weights of benefit and cost
     */
    public CopyPlanner(PlacementPolicy policy, PlacementWeights weights) {
        this.policy = Assert.notNull(policy, "policy");
        this.weights = Assert.notNull(weights, "weights");
    }

    @Override
    public PlanDecision decide(PlanInput input) {
        Layout layout = new Layout(input, !policy.dropsSurplus());
        for (ModelSpec model : input.models()) {
            retireOutdated(layout, model, neededCopies(input, model));
            if (policy.dropsSurplus()) {
                dropSurplus(layout, model, neededCopies(input, model));
            }
        }
        List<ModelSpec> order = order(input, layout);
        boolean placed = true;
        for (int round = 1; placed && layout.pendingLoads() < weights.modelLoadsAtOnce(); round++) {
            placed = false;
            for (ModelSpec model : order) {
                placed |= addCopy(input, layout, model, round);
            }
        }
        return layout.decision();
    }

    private List<ModelSpec> order(PlanInput input, Layout layout) {
        List<ModelSpec> order = new ArrayList<>(input.models());
        order.sort(Comparator.<ModelSpec>comparingInt(model -> urgency(layout, model))
                .thenComparing(Comparator.comparingDouble((ModelSpec model) -> excess(input, layout, model))
                        .reversed())
                .thenComparing(Comparator.comparingLong(ModelSpec::memoryMb).reversed())
                .thenComparing(ModelSpec::name));
        return order;
    }

    private int neededCopies(PlanInput input, ModelSpec model) {
        return policy.neededCopies(model.minimumCopies(), input.demandFor(model), weights);
    }

    private static int urgency(Layout layout, ModelSpec model) {
        if (!layout.hasReachableCopy(model)) {
            return layout.outdatedHolders(model).isEmpty() ? 0 : 1;
        }
        return layout.currentCopies(model) < model.minimumCopies() ? 2 : 3;
    }

    private double excess(PlanInput input, Layout layout, ModelSpec model) {
        return input.demandFor(model).requests() - (double) layout.currentCopies(model) * weights.requestsPerCopy();
    }

    /** Give up copies of earlier versions one by one as copies of the current version become ready. */
    private static void retireOutdated(Layout layout, ModelSpec model, int neededCopies) {
        int ready = layout.readyHolders(model).size();
        List<String> outdated = layout.outdatedHolders(model);
        if (ready == 0 || outdated.isEmpty()) {
            return;
        }
        int retired = Math.max(0, outdated.size() + ready - neededCopies);
        boolean loading = layout.currentCopies(model) > ready;
        retired = Math.min(outdated.size(), loading ? retired : Math.max(1, retired));
        outdated.subList(0, retired).forEach(runner -> layout.dropOutdated(runner, model));
    }

    private static void dropSurplus(Layout layout, ModelSpec model, int neededCopies) {
        while (layout.currentCopies(model) > neededCopies) {
            Optional<String> runner = droppable(layout, model, layout.readyHolders(model));
            if (runner.isEmpty()) {
                return;
            }
            layout.drop(runner.get(), model);
        }
    }

    /**
     * Find the ready copy to give up, in the availability zone with the most copies; empty if it is the only ready one.
     */
    private static Optional<String> droppable(Layout layout, ModelSpec model, Set<String> candidates) {
        if (layout.readyHolders(model).size() < 2) {
            return Optional.empty();
        }
        return candidates.stream()
                .max(Comparator.<String>comparingLong(runner -> layout.copiesInZone(runner, model))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Add a copy if one is wanted in this round, and return whether a later round may add another. */
    private boolean addCopy(PlanInput input, Layout layout, ModelSpec model, int round) {
        int present = layout.currentCopies(model);
        int wanted = policy.wantedCopies(model.minimumCopies(), present, input.demandFor(model), weights);
        boolean unavailable = !layout.hasReachableCopy(model);
        if (!unavailable && present >= wanted || layout.pendingLoads() >= weights.modelLoadsAtOnce()) {
            return false;
        }
        if (!unavailable && present >= round) {
            return round < layout.runnerNames().size();
        }
        Optional<String> runner =
                layout.bestRunner(model, each -> layout.fits(each, model, reserveMb(each, unavailable)));
        if (runner.isPresent()) {
            layout.assign(runner.get(), model);
            return true;
        }
        boolean displaces =
                unavailable || policy.displaces(model.minimumCopies(), present, input.demandFor(model), weights);
        boolean roomPending = layout.bestRunner(
                        model,
                        each -> layout.freeAfterUnloadsMb(each.name()) - reserveMb(each, unavailable)
                                >= model.memoryMb())
                .isPresent();
        if (displaces && !roomPending && !evictSurplus(input, layout, model, unavailable) && unavailable) {
            relocateOther(layout, model);
        }
        return false;
    }

    private long reserveMb(RunnerCapacity runner, boolean unavailable) {
        return unavailable ? 0 : weights.adapterReserveMb(runner.memorySizeMb());
    }

    /** Give up surplus copies on the runner where the recent peak demand for them is the lowest. */
    private boolean evictSurplus(PlanInput input, Layout layout, ModelSpec model, boolean unavailable) {
        List<ModelSpec> best = List.of();
        String bestRunner = null;
        for (RunnerCapacity each : input.runners()) {
            String runner = each.name();
            long missingMb = model.memoryMb() + reserveMb(each, unavailable) - layout.freeAfterUnloadsMb(runner);
            List<ModelSpec> victims = victims(input, layout, model, runner, missingMb);
            boolean better = bestRunner == null || peakDemand(input, victims) < peakDemand(input, best);
            if (!victims.isEmpty() && better) {
                best = victims;
                bestRunner = runner;
            }
        }
        for (ModelSpec victim : best) {
            layout.drop(bestRunner, victim);
        }
        return bestRunner != null;
    }

    private static double peakDemand(PlanInput input, List<ModelSpec> models) {
        return models.stream()
                .mapToDouble(model -> input.demandFor(model).peakRequests())
                .sum();
    }

    /** Return the surplus copies to give up for enough memory on a runner; empty if they are not enough. */
    private List<ModelSpec> victims(PlanInput input, Layout layout, ModelSpec model, String runner, long wantedMb) {
        List<ModelSpec> held = new ArrayList<>(layout.modelsOn(runner));
        if (held.contains(model)) {
            return List.of();
        }
        held.removeIf(other -> !isSurplus(input, layout, other, runner));
        held.sort(Comparator.comparingDouble(other -> input.demandFor(other).peakRequests()));
        List<ModelSpec> victims = new ArrayList<>();
        long missingMb = wantedMb;
        for (ModelSpec other : held) {
            if (missingMb > 0) {
                victims.add(other);
                missingMb -= other.memoryMb();
            }
        }
        return missingMb > 0 ? List.of() : victims;
    }

    private boolean isSurplus(PlanInput input, Layout layout, ModelSpec model, String runner) {
        Set<String> holders = layout.readyHolders(model);
        return holders.contains(runner) && holders.size() > Math.max(1, neededCopies(input, model));
    }

    /**
     * Plan a second copy of another model elsewhere, so that a later plan can give up its first one for a model that
     * has no copy.
     */
    private static void relocateOther(Layout layout, ModelSpec model) {
        for (String runner : layout.runnerNames()) {
            for (ModelSpec other : layout.modelsOn(runner)) {
                boolean makesRoom = layout.readyHolders(other).size() == 1
                        && layout.currentCopies(other) == 1
                        && layout.freeAfterUnloadsMb(runner) + other.memoryMb() >= model.memoryMb();
                Optional<String> target =
                        makesRoom ? layout.bestRunner(other, each -> layout.fits(each, other, 0)) : Optional.empty();
                if (target.isPresent()) {
                    layout.assign(target.get(), other);
                    return;
                }
            }
        }
    }
}
