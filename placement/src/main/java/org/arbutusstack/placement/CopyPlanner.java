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
        List<ModelSpec> order = new ArrayList<>(input.models());
        order.sort(Comparator.<ModelSpec>comparingInt(model -> urgency(layout, model))
                .thenComparing(Comparator.comparingDouble((ModelSpec model) -> excess(input, layout, model))
                        .reversed())
                .thenComparing(Comparator.comparingLong(ModelSpec::memoryMb).reversed())
                .thenComparing(ModelSpec::name));
        boolean placed = true;
        for (int round = 1; placed && layout.loading() < weights.modelLoadsAtOnce(); round++) {
            placed = false;
            for (ModelSpec model : order) {
                placed |= addCopy(input, layout, model, round);
            }
        }
        return layout.decision();
    }

    private int needed(PlanInput input, ModelSpec model) {
        return policy.neededCopies(model.minimumCopies(), input.demandFor(model), weights);
    }

    private static int urgency(Layout layout, ModelSpec model) {
        if (layout.reachableCopies(model) == 0) {
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

    private boolean addCopy(PlanInput input, Layout layout, ModelSpec model, int round) {
        int present = layout.currentCopies(model);
        int wanted = policy.wantedCopies(model.minimumCopies(), present, input.demandFor(model), weights);
        boolean lost = layout.reachableCopies(model) == 0;
        if (!lost && present >= Math.min(wanted, round) || layout.loading() >= weights.modelLoadsAtOnce()) {
            return !lost && present < wanted && round < layout.runnerNames().size();
        }
        Optional<String> runner =
                layout.bestRunner(model, name -> layout.fits(name, model, lost ? 0 : reserveMb(input, name)));
        if (runner.isPresent()) {
            layout.want(runner.get(), model);
            return true;
        }
        boolean needed = lost || present < needed(input, model);
        if (needed && !isRoomComing(layout, model) && !freeRoom(input, layout, model) && lost) {
            moveAway(layout, model);
        }
        return false;
    }

    private long reserveMb(PlanInput input, String name) {
        return input.runners().stream()
                .filter(runner -> runner.name().equals(name))
                .mapToLong(runner -> weights.adapterReserveMb(runner.memorySizeMb()))
                .sum();
    }

    private static boolean isRoomComing(Layout layout, ModelSpec model) {
        return layout.bestRunner(model, name -> layout.freeMb(name) + layout.leavingMb(name) >= model.memoryMb())
                .isPresent();
    }

    /** Gives up copies beyond those needed on the first runner where that makes enough room. */
    private boolean freeRoom(PlanInput input, Layout layout, ModelSpec model) {
        for (String runner : layout.runnerNames()) {
            if (layout.wantedOn(runner).contains(Layout.keyOf(model))) {
                continue;
            }
            List<ModelSpec> victims = new ArrayList<>();
            long roomMb = layout.freeMb(runner) + layout.leavingMb(runner);
            for (String key : layout.wantedOn(runner)) {
                Optional<ModelSpec> other = layout.model(key);
                if (roomMb < model.memoryMb() && other.isPresent() && isSurplus(input, layout, other.get(), runner)) {
                    victims.add(other.get());
                    roomMb += other.get().memoryMb();
                }
            }
            if (roomMb >= model.memoryMb()) {
                victims.forEach(victim -> layout.drop(runner, victim));
                return true;
            }
        }
        return false;
    }

    private boolean isSurplus(PlanInput input, Layout layout, ModelSpec model, String runner) {
        Set<String> holders = layout.readyHolders(model);
        return holders.contains(runner) && holders.size() > Math.max(1, needed(input, model));
    }

    /** Wants a second copy of another model elsewhere, so that its first one can make way for a model without any. */
    private static void moveAway(Layout layout, ModelSpec model) {
        for (String runner : layout.runnerNames()) {
            for (String key : layout.wantedOn(runner)) {
                Optional<ModelSpec> other =
                        layout.model(key).filter(spec -> Layout.keyOf(spec).equals(key));
                boolean frees = other.isPresent()
                        && layout.readyHolders(other.get()).size() == 1
                        && layout.currentCopies(other.get()) == 1
                        && layout.freeMb(runner)
                                        + layout.leavingMb(runner)
                                        + other.get().memoryMb()
                                >= model.memoryMb();
                Optional<String> target = frees
                        ? layout.bestRunner(other.get(), name -> layout.fits(name, other.get(), 0))
                        : Optional.empty();
                if (target.isPresent()) {
                    layout.want(target.get(), other.get());
                    return;
                }
            }
        }
    }
}
