package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.ticket.ModelSpec;

/**
 * Keeps copies where they are, adds what a policy wants within the pace of the weight store, and gives copies up only
 * after their replacement is offered.
 *
 * <p>A model without a copy comes first, then those below their minimum, then those whose copies serve too few of their
 * requests. Where no runner has room, a copy beyond those needed makes way, or a model is moved: its new copy is wanted
 * first, and the old one makes way in a later plan. Stateless; safe for use by any thread.
 *
 * @see Planner
 */
public final class CopyPlanner implements Planner {

    private final PlacementPolicy policy;

    private final PlacementWeights weights;

    /**
     * Creates a planner.
     *
     * @param policy tells how many copies are wanted
     * @param weights how to weigh
     */
    public CopyPlanner(PlacementPolicy policy, PlacementWeights weights) {
        this.policy = Assert.notNull(policy, "policy");
        this.weights = Assert.notNull(weights, "weights");
    }

    @Override
    public PlanDecision decide(PlanInput input) {
        Layout layout = new Layout(input, !policy.dropsSurplus());
        for (ModelSpec model : input.models()) {
            retireOutdated(layout, model, needed(input, model));
            if (policy.dropsSurplus()) {
                dropSurplus(layout, model, needed(input, model));
            }
        }
        List<ModelSpec> order = order(input, layout);
        boolean placed = true;
        for (int round = 1; placed && layout.loading() < weights.modelLoadsAtOnce(); round++) {
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

    private int needed(PlanInput input, ModelSpec model) {
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

    /** Gives up earlier versions one by one as copies of the version in force are offered. */
    private static void retireOutdated(Layout layout, ModelSpec model, int needed) {
        int ready = layout.readyHolders(model).size();
        List<String> outdated = layout.outdatedHolders(model);
        if (ready == 0 || outdated.isEmpty()) {
            return;
        }
        int given = Math.max(0, outdated.size() + ready - needed);
        boolean loading = layout.currentCopies(model) > ready;
        given = Math.min(outdated.size(), loading ? given : Math.max(1, given));
        outdated.subList(0, given).forEach(runner -> layout.dropOutdated(runner, model));
    }

    private static void dropSurplus(Layout layout, ModelSpec model, int needed) {
        while (layout.currentCopies(model) > needed) {
            Optional<String> runner = droppable(layout, model, layout.readyHolders(model));
            if (runner.isEmpty()) {
                return;
            }
            layout.drop(runner.get(), model);
        }
    }

    /** Finds the ready copy to give up, in the availability zone with the most; another must stay ready. */
    private static Optional<String> droppable(Layout layout, ModelSpec model, Set<String> candidates) {
        if (layout.readyHolders(model).size() < 2) {
            return Optional.empty();
        }
        return candidates.stream()
                .max(Comparator.<String>comparingLong(runner -> layout.copiesInZone(runner, model))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Adds a copy if one is wanted in this round; returns whether a later round may add more. */
    private boolean addCopy(PlanInput input, Layout layout, ModelSpec model, int round) {
        int present = layout.currentCopies(model);
        int wanted = policy.wantedCopies(model.minimumCopies(), present, input.demandFor(model), weights);
        boolean lost = !layout.hasReachableCopy(model);
        if (!lost && present >= wanted || layout.loading() >= weights.modelLoadsAtOnce()) {
            return false;
        }
        if (!lost && present >= round) {
            return round < layout.runnerNames().size();
        }
        Optional<String> runner = layout.bestRunner(model, each -> layout.fits(each, model, reserveMb(each, lost)));
        if (runner.isPresent()) {
            layout.want(runner.get(), model);
            return true;
        }
        boolean displaces = lost || policy.displaces(model.minimumCopies(), present, input.demandFor(model), weights);
        boolean roomComes = layout.bestRunner(
                        model, each -> layout.roomMb(each.name()) - reserveMb(each, lost) >= model.memoryMb())
                .isPresent();
        if (displaces && !roomComes && !freeRoom(input, layout, model, lost) && lost) {
            moveAway(layout, model);
        }
        return false;
    }

    private long reserveMb(RunnerCapacity runner, boolean lost) {
        return lost ? 0 : weights.adapterReserveMb(runner.memorySizeMb());
    }

    /** Gives up copies beyond those needed on the runner where their demand of late is the least. */
    private boolean freeRoom(PlanInput input, Layout layout, ModelSpec model, boolean lost) {
        List<ModelSpec> best = List.of();
        String bestRunner = null;
        for (RunnerCapacity each : input.runners()) {
            String runner = each.name();
            long missingMb = model.memoryMb() + reserveMb(each, lost) - layout.roomMb(runner);
            List<ModelSpec> victims = victims(input, layout, model, runner, missingMb);
            boolean better = bestRunner == null || peak(input, victims) < peak(input, best);
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

    private static double peak(PlanInput input, List<ModelSpec> models) {
        return models.stream()
                .mapToDouble(model -> input.demandFor(model).peakRequests())
                .sum();
    }

    /** Lists the copies that make enough room on a runner, or none if that cannot be. */
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
        return holders.contains(runner) && holders.size() > Math.max(1, needed(input, model));
    }

    /** Wants a second copy of another model elsewhere, so that its first one can make way for a model without any. */
    private static void moveAway(Layout layout, ModelSpec model) {
        for (String runner : layout.runnerNames()) {
            for (ModelSpec other : layout.modelsOn(runner)) {
                boolean frees = layout.readyHolders(other).size() == 1
                        && layout.currentCopies(other) == 1
                        && layout.roomMb(runner) + other.memoryMb() >= model.memoryMb();
                Optional<String> target =
                        frees ? layout.bestRunner(other, each -> layout.fits(each, other, 0)) : Optional.empty();
                if (target.isPresent()) {
                    layout.want(target.get(), other);
                    return;
                }
            }
        }
    }
}
