package org.arbutusstack.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.kernel.Assert;

/**
 * Planner that decides which engine loads which model next if the wanted copies of all models do not fit into memory at
 * once.
 *
 * <p>Models are ranked by the number of requests that another copy would relieve: requests for a model that no runner
 * holds, and requests in excess of what the copies of a model serve well. Memory is freed by evicting surplus copies,
 * the least busy first, and models without recent requests. Stateless; performs no I/O.
 */
public final class FleetPlanner {

    /** Share of the slots of a runner that one model may fill, since a runner holds about three models. */
    private static final double MODEL_SLOTS_SHARE = 1 / 3.0;

    /** Maximum number of requests in progress that one copy serves well, regardless of the slots of its runner. */
    private final double maxRequestsPerCopy;

    /** Idle time at which evicting the last copy of a model costs twice {@link #LAST_COPY_COST}, in milliseconds. */
    private final long idleMillis;

    /** A further copy is worth a load only if demand exceeds what the copies serve well by this factor. */
    private static final double EXCESS_FACTOR = 1.25;

    /** Cost of evicting the last copy of a model that has been idle for a long time, in requests. */
    private static final double LAST_COPY_COST = 4;

    /**
     * Cost of evicting a copy that is in use, in requests: the unload, and the load that follows, wait until its
     * requests end.
     */
    private static final double DRAIN_COST = 6;

    /**
     * Smoothed number of requests in progress below which a model counts as idle: the remainder of earlier requests.
     */
    private static final double NEGLIGIBLE_REQUESTS = 0.3;

    /** Cost of each unload, in requests, so that free memory is preferred. */
    private static final double UNLOAD_COST = 0.5;

    /** Base urgency of a model without a copy, in excess requests, compared with models at capacity. */
    private static final double MISSING_WEIGHT = 6;

    /** Weight of each request for a model without a copy, since none of them is served. */
    private static final double WAITING_WEIGHT = 4;

    /**
     * Weight of each request that only some runners can serve, none of which holds the model: it is the rest of an
     * answer whose beginning its caller has, and would lose.
     */
    private static final double BOUND_WEIGHT = 8;

    /** Cost of loading on a runner for each request that it has, in requests. */
    private static final double BUSY_REQUEST_COST = 0.15;

    /**
     * Create a planner.
     *
     * @param maxRequestsPerCopy the maximum number of requests in progress that one copy serves well
     * @param idleMillis the idle time, in milliseconds, at which the last copy of a model costs twice as much to evict
     *     as after a very long idle time
     */
    public FleetPlanner(double maxRequestsPerCopy, long idleMillis) {
        Assert.isTrue(maxRequestsPerCopy > 0, "'maxRequestsPerCopy' must be positive");
        this.maxRequestsPerCopy = maxRequestsPerCopy;
        this.idleMillis = Assert.atLeast(idleMillis, 0, "idleMillis");
    }

    /**
     * Decide which models to load. After the loss of all runners, all copies are chosen in one decision: a model with
     * many waiting requests gets several copies before one with few gets its first.
     *
     * @param fleet the engines and the demand for their models
     * @param maxFromStore the number of loads from the weight store that may begin now
     * @return the loads, at most one per runner, the most urgent first
     */
    public List<ModelMove> decide(EngineFleet fleet, int maxFromStore) {
        return decide(fleet, List.of(), maxFromStore);
    }

    /**
     * Decide which models to load where some demand can be served by some runners only. No model in use loses a copy
     * that it needs for that.
     *
     * @param fleet the engines and the demand for their models
     * @param bound the demand that some runners only can serve
     * @param maxFromStore the number of loads from the weight store that may begin now
     * @return the loads, at most one per runner, the most urgent first
     */
    public List<ModelMove> decide(EngineFleet fleet, List<BoundDemand> bound, int maxFromStore) {
        FleetState state = new FleetState(fleet, maxRequestsPerCopy);
        List<ModelMove> moves = new ArrayList<>();
        int remainingFromStore = maxFromStore;
        List<Need> unplaced = new ArrayList<>();
        Optional<Need> next = mostUrgent(state, bound, unplaced);
        while (next.isPresent()) {
            Optional<ModelMove> move = place(state, next.get(), remainingFromStore > 0);
            if (move.isPresent()) {
                moves.add(move.get());
                state.apply(move.get());
                remainingFromStore -= move.get().fromStore() ? 1 : 0;
            } else {
                unplaced.add(next.get());
            }
            next = mostUrgent(state, bound, unplaced);
        }
        return moves;
    }

    /**
     * Return the most urgent need of another copy, given the moves decided so far; among equal ones that of bound
     * demand, since its copy serves the others too.
     */
    private Optional<Need> mostUrgent(FleetState state, List<BoundDemand> bound, List<Need> unplaced) {
        List<Need> needs = new ArrayList<>();
        for (BoundDemand demand : bound) {
            demand.waiting().forEach((model, waiting) -> {
                if (state.fleet.models().containsKey(model) && !state.isHeldByAny(demand.runners(), model)) {
                    needs.add(new Need(model, demand.runners(), boundUrgency(state, model, waiting)));
                }
            });
        }
        for (String model : state.fleet.models().keySet()) {
            if (wantsCopy(state, model)) {
                needs.add(new Need(model, Set.of(), urgency(state, model)));
            }
        }
        return needs.stream()
                .filter(need -> unplaced.stream().noneMatch(need::isSameAs))
                .min(Comparator.comparingDouble((Need need) -> -need.urgency())
                        .thenComparing(need -> !need.isBound())
                        .thenComparing(Need::model));
    }

    /** Rank bound demand at least like that for a model without a copy, since none of it is served either. */
    private double boundUrgency(FleetState state, String model, int waiting) {
        double urgency = MISSING_WEIGHT + BOUND_WEIGHT * waiting;
        return state.copiesOf(model) == 0 ? Math.max(urgency, urgency(state, model)) : urgency;
    }

    private boolean wantsCopy(FleetState state, String model) {
        double requests = activeRequests(state.fleet.demandFor(model));
        int copies = state.copiesOf(model);
        return copies == 0 ? requests >= 1 : requests > copies * state.requestsPerCopy * EXCESS_FACTOR;
    }

    /** Rank a model by the requests that another copy would relieve, since the number of loads is limited. */
    private double urgency(FleetState state, String model) {
        boolean missing = state.copiesOf(model) == 0;
        return missing
                ? MISSING_WEIGHT + WAITING_WEIGHT * activeRequests(state.fleet.demandFor(model))
                : excess(state, model);
    }

    private static double activeRequests(EngineFleet.ModelDemand demand) {
        return Math.max(demand.waiting(), demand.requests());
    }

    private double excess(FleetState state, String model) {
        EngineFleet.ModelDemand demand = state.fleet.demandFor(model);
        return activeRequests(demand) - state.copiesOf(model) * state.requestsPerCopy;
    }

    private Optional<ModelMove> place(FleetState state, Need need, boolean storeAllowed) {
        String model = need.model();
        boolean isUnserved = need.isBound() || state.copiesOf(model) == 0;
        double gain = isUnserved ? Double.MAX_VALUE : excess(state, model);
        Candidate best = null;
        for (EngineFleet.Runner runner : state.fleet.runners()) {
            if (need.isBound() && !need.runners().contains(runner.name())) {
                continue;
            }
            Candidate candidate = candidate(state, runner, model);
            boolean permitted = candidate != null
                    && candidate.cost() < gain
                    && (storeAllowed || !candidate.move().fromStore());
            if (permitted && (best == null || candidate.cost() < best.cost())) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best).map(Candidate::move);
    }

    /** Return the cheapest way to load the model on a runner, or null if the runner cannot free enough memory. */
    private Candidate candidate(FleetState state, EngineFleet.Runner runner, String model) {
        if (runner.busy() || state.isAssigned(runner) || state.heldBy(runner).contains(model)) {
            return null;
        }
        double missingMb = state.fleet.models().get(model).memoryMb() - state.freeMb(runner);
        double cost = runner.requests() * BUSY_REQUEST_COST;
        List<String> victims = new ArrayList<>();
        List<String> held = new ArrayList<>(state.heldBy(runner));
        held.sort(Comparator.<String>comparingDouble(victim -> evictionCost(state, victim))
                .thenComparing(Comparator.naturalOrder()));
        for (String victim : held) {
            if (missingMb <= 0) {
                break;
            }
            double victimCost = evictionCost(state, victim);
            if (victimCost == Double.MAX_VALUE || !state.fleet.models().containsKey(victim)) {
                continue;
            }
            victims.add(victim);
            cost += victimCost + UNLOAD_COST;
            missingMb -= state.fleet.models().get(victim).memoryMb();
        }
        if (missingMb > 0) {
            return null;
        }
        boolean fromStore = !runner.storedCopies().containsKey(model);
        double storeCost = fromStore ? 1 : 0;
        return new Candidate(new ModelMove(runner.name(), model, victims, fromStore), cost + storeCost);
    }

    /**
     * Return the cost of evicting one copy of a model, in requests that it would serve; the maximum if it must stay.
     */
    private double evictionCost(FleetState state, String model) {
        EngineFleet.ModelDemand demand = state.fleet.demandFor(model);
        int copies = state.copiesOf(model);
        if (copies > 1) {
            boolean needed = demand.requests() > (copies - 1) * state.requestsPerCopy;
            double share = demand.requests() / copies;
            return needed ? Double.MAX_VALUE : share + (share < NEGLIGIBLE_REQUESTS ? 0 : DRAIN_COST);
        }
        boolean inUse = demand.waiting() > 0 || demand.requests() >= NEGLIGIBLE_REQUESTS;
        return inUse ? Double.MAX_VALUE : LAST_COPY_COST * (1 + idleMillis / (1.0 + demand.idleMillis()));
    }

    /** Need of another copy of a model, at any runner or, if bound, at some of them; and its urgency in requests. */
    private record Need(String model, Set<String> runners, double urgency) {

        boolean isBound() {
            return !runners.isEmpty();
        }

        boolean isSameAs(Need other) {
            return model.equals(other.model) && runners.equals(other.runners);
        }
    }

    /** Possible move and its cost in requests. */
    private record Candidate(ModelMove move, double cost) {}

    /** Models held by each runner, updated with each move of a decision. */
    private static final class FleetState {

        private final EngineFleet fleet;

        /** Number of requests in progress that one copy serves well. */
        private final double requestsPerCopy;

        private final Map<String, Set<String>> heldByRunner = new HashMap<>();

        private final Map<String, Integer> copies = new HashMap<>();

        private final Set<String> assigned = new HashSet<>();

        FleetState(EngineFleet fleet, double maxRequestsPerCopy) {
            this.fleet = fleet;
            this.requestsPerCopy = Math.min(maxRequestsPerCopy, fleet.slots() * MODEL_SLOTS_SHARE);
            for (EngineFleet.Runner runner : fleet.runners()) {
                heldByRunner.put(runner.name(), new HashSet<>(runner.held()));
                runner.held().forEach(model -> copies.merge(model, 1, Integer::sum));
            }
        }

        int copiesOf(String model) {
            return copies.getOrDefault(model, 0);
        }

        Set<String> heldBy(EngineFleet.Runner runner) {
            return heldByRunner.get(runner.name());
        }

        boolean isHeldByAny(Set<String> names, String model) {
            return names.stream()
                    .anyMatch(name -> heldByRunner.getOrDefault(name, Set.of()).contains(model));
        }

        boolean isAssigned(EngineFleet.Runner runner) {
            return assigned.contains(runner.name());
        }

        double freeMb(EngineFleet.Runner runner) {
            double used = runner.adaptersMb();
            for (String model : heldBy(runner)) {
                EngineFleet.Model known = fleet.models().get(model);
                used += known == null ? runner.memoryMb() : known.memoryMb();
            }
            return runner.memoryMb() - used;
        }

        void apply(ModelMove move) {
            assigned.add(move.runner());
            Set<String> held = heldByRunner.get(move.runner());
            for (String victim : move.unload()) {
                held.remove(victim);
                copies.merge(victim, -1, Integer::sum);
            }
            held.add(move.load());
            copies.merge(move.load(), 1, Integer::sum);
        }
    }
}
