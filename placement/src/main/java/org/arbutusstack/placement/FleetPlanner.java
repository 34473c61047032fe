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
 * Decides which engine loads which model next, where not all models with the copies that they want fit at once.
 *
 * <p>Models go by the requests that a copy would relieve: those that wait for a model which no runner holds, and those
 * above what the copies of a model serve well. Room comes from copies beyond what their model needs, the least busy
 * first, and from models that nobody has asked for lately. Stateless; does no I/O.
 */
public final class FleetPlanner {

    /** The share of a runner's slots that one of its models fills well: a runner holds about three. */
    private static final double SLOTS_SHARE = 1 / 3.0;

    /** The most requests in hand that one copy serves well, however many slots its runner has. */
    private final double mostRequestsPerCopy;

    /** The idle time at which a model's last copy costs twice what it costs after a long one. */
    private final long idleMillis;

    /** A further copy is worth a load only when the copies have this many times the requests they serve well. */
    private static final double EXCESS_FACTOR = 1.25;

    /** The price of giving up the last copy of a model long idle, in requests; twice that once it is idle as long. */
    private static final double LAST_COPY_PRICE = 4;

    /** An unload waits for the requests that run, while the model that makes room for is missing. */
    private static final double DRAIN_PRICE = 6;

    /** Fewer requests than this in hand, smoothed, are what is left of earlier ones. */
    private static final double NEGLIGIBLE_REQUESTS = 0.3;

    /** The price of any unload, so that free room goes first, in requests. */
    private static final double UNLOAD_PRICE = 0.5;

    /** What a model without a copy counts for beside models that are crowded, in requests above what copies serve. */
    private static final double MISSING_WEIGHT = 6;

    /** What each request for a model without a copy counts for: none of them is served. */
    private static final double WAITING_WEIGHT = 4;

    /** What one more request at a runner adds to the price of loading there, in requests. */
    private static final double BUSYNESS_PRICE = 0.15;

    /**
     * Creates a planner.
     *
     * @param mostRequestsPerCopy the most requests in hand that one copy serves well
     * @param idleMillis the idle time at which a model's last copy costs twice what it costs after a long one
     */
    public FleetPlanner(double mostRequestsPerCopy, long idleMillis) {
        Assert.isTrue(mostRequestsPerCopy > 0, "'mostRequestsPerCopy' must be positive");
        this.mostRequestsPerCopy = mostRequestsPerCopy;
        this.idleMillis = Assert.atLeast(idleMillis, 0, "idleMillis");
    }

    /**
     * Decides. After a total loss all copies are chosen at once: a model that many wait for gets several of them before
     * one that few wait for gets its first.
     *
     * @param fleet the engines and what is asked of them
     * @param mostFromStore the loads from the weight store that may begin now
     * @return what to load, at most one model a runner
     */
    public List<ModelMove> decide(EngineFleet fleet, int mostFromStore) {
        Board board = new Board(fleet, mostRequestsPerCopy);
        List<ModelMove> moves = new ArrayList<>();
        int left = mostFromStore;
        Set<String> unplaced = new HashSet<>();
        Optional<String> next = mostUrgent(board, unplaced);
        while (next.isPresent()) {
            Optional<ModelMove> move = place(board, next.get(), left > 0);
            if (move.isPresent()) {
                moves.add(move.get());
                board.apply(move.get());
                left -= move.get().fromStore() ? 1 : 0;
            } else {
                unplaced.add(next.get());
            }
            next = mostUrgent(board, unplaced);
        }
        return moves;
    }

    /** Names the model that wants a further copy most, with what has been decided so far. */
    private Optional<String> mostUrgent(Board board, Set<String> unplaced) {
        return board.fleet.models().keySet().stream()
                .filter(model -> !unplaced.contains(model) && wantsCopy(board, model))
                .min(Comparator.comparingDouble((String model) -> -urgency(board, model))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private boolean wantsCopy(Board board, String model) {
        double asked = asked(board.fleet.demandFor(model));
        int copies = board.copiesOf(model);
        return copies == 0 ? asked >= 1 : asked > copies * board.requestsPerCopy * EXCESS_FACTOR;
    }

    /** Weighs a model by the requests that a copy would relieve, since loads are few. */
    private double urgency(Board board, String model) {
        boolean missing = board.copiesOf(model) == 0;
        return missing ? MISSING_WEIGHT + WAITING_WEIGHT * asked(board.fleet.demandFor(model)) : excess(board, model);
    }

    private static double asked(EngineFleet.ModelDemand demand) {
        return Math.max(demand.waiting(), demand.requests());
    }

    private double excess(Board board, String model) {
        EngineFleet.ModelDemand demand = board.fleet.demandFor(model);
        return asked(demand) - board.copiesOf(model) * board.requestsPerCopy;
    }

    private Optional<ModelMove> place(Board board, String model, boolean mayUseStore) {
        double gain = board.copiesOf(model) == 0 ? Double.MAX_VALUE : excess(board, model);
        Candidate best = null;
        for (EngineFleet.Runner runner : board.fleet.runners()) {
            Candidate candidate = candidate(board, runner, model);
            boolean permitted = candidate != null
                    && candidate.price() < gain
                    && (mayUseStore || !candidate.move().fromStore());
            if (permitted && (best == null || candidate.price() < best.price())) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best).map(Candidate::move);
    }

    /** Works out the room that a runner could make; null if it cannot. */
    private Candidate candidate(Board board, EngineFleet.Runner runner, String model) {
        if (runner.busy() || board.isTaken(runner) || board.heldBy(runner).contains(model)) {
            return null;
        }
        double missingMb = board.fleet.models().get(model).memoryMb() - board.freeMb(runner);
        double price = runner.requests() * BUSYNESS_PRICE;
        List<String> victims = new ArrayList<>();
        List<String> held = new ArrayList<>(board.heldBy(runner));
        held.sort(Comparator.<String>comparingDouble(victim -> priceOf(board, victim))
                .thenComparing(Comparator.naturalOrder()));
        for (String victim : held) {
            if (missingMb <= 0) {
                break;
            }
            double victimPrice = priceOf(board, victim);
            if (victimPrice == Double.MAX_VALUE || !board.fleet.models().containsKey(victim)) {
                continue;
            }
            victims.add(victim);
            price += victimPrice + UNLOAD_PRICE;
            missingMb -= board.fleet.models().get(victim).memoryMb();
        }
        if (missingMb > 0) {
            return null;
        }
        boolean fromStore = !runner.storedCopies().containsKey(model);
        double slowness = fromStore ? 1 : 0;
        return new Candidate(new ModelMove(runner.name(), model, victims, fromStore), price + slowness);
    }

    /** Tells what giving up one copy of a model costs, in requests that it would serve; the maximum if it must stay. */
    private double priceOf(Board board, String model) {
        EngineFleet.ModelDemand demand = board.fleet.demandFor(model);
        int copies = board.copiesOf(model);
        if (copies > 1) {
            boolean needed = demand.requests() > (copies - 1) * board.requestsPerCopy;
            double share = demand.requests() / copies;
            return needed ? Double.MAX_VALUE : share + (share < NEGLIGIBLE_REQUESTS ? 0 : DRAIN_PRICE);
        }
        boolean asked = demand.waiting() > 0 || demand.requests() >= NEGLIGIBLE_REQUESTS;
        return asked ? Double.MAX_VALUE : LAST_COPY_PRICE * (1 + idleMillis / (1.0 + demand.idleMillis()));
    }

    /** Holds a possible move and what it costs. */
    private record Candidate(ModelMove move, double price) {}

    /** Follows what runners hold while moves are decided. */
    private static final class Board {

        private final EngineFleet fleet;

        /** The requests in hand that one copy serves well. */
        private final double requestsPerCopy;

        private final Map<String, Set<String>> heldByRunner = new HashMap<>();

        private final Map<String, Integer> copies = new HashMap<>();

        private final Set<String> taken = new HashSet<>();

        Board(EngineFleet fleet, double mostRequestsPerCopy) {
            this.fleet = fleet;
            this.requestsPerCopy = Math.min(mostRequestsPerCopy, fleet.slots() * SLOTS_SHARE);
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

        boolean isTaken(EngineFleet.Runner runner) {
            return taken.contains(runner.name());
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
            taken.add(move.runner());
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
