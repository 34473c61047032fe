package org.arbutusstack.gateway.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.gateway.config.EngineModel;
import org.arbutusstack.gateway.config.EngineSpec;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.request.RequestDispatcher;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.EngineFleet;
import org.arbutusstack.placement.FleetPlanner;
import org.arbutusstack.placement.LoadRateLimiter;
import org.arbutusstack.placement.ModelMove;
import org.arbutusstack.wire.frame.ModelDemandFrame;
import org.arbutusstack.wire.frame.ModelOrderFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gathers what the planner needs, has it decide, and hands the moves to the sides, while this entry holds the lease.
 *
 * <p>Used by the entry's loop only.
 *
 * @see FleetPlanner
 */
public final class ModelPlanner {

    private static final Logger logger = LoggerFactory.getLogger(ModelPlanner.class);

    /** How long a side may take to begin an order: a few of its periods. */
    private static final long BEGIN_MILLIS = 4_000;

    /** How long a move is taken to be under way though the side does not show it yet. */
    private static final long SHOWN_MILLIS = 800;

    /** Keeps below the bound on loads, whose windows need not be those of the pacer. */
    private static final double RATE_SHARE = 0.9;

    private static final double SAVED_LOADS = 3;

    /** How often the demand is compared with what is kept of it: about as long as a move of demand takes. */
    private static final long KEEP_MILLIS = 5_000;

    private final RunnerTable runners;

    private final RequestDispatcher dispatcher;

    private final PlannerElection election;

    private final FleetPlanner planner;

    private final DemandAggregator demand;

    private final LoadRateLimiter pacer;

    private final Clock clock;

    private final String entryName;

    private final Map<String, Move> recent = new HashMap<>();

    private ServingConfig config;

    private long fence;

    private long sequence;

    /** What the key-value service keeps of the demand. */
    private DemandRecord kept = DemandRecord.EMPTY;

    private long keepAtNanos;

    /**
     * Creates the planner's duty.
     *
     * @param entryName the entry's name
     * @param runners the runners
     * @param dispatcher tells the requests in hand
     * @param election tells whether this entry plans
     * @param planner decides
     * @param clock the clock of the process
     */
    public ModelPlanner(
            String entryName,
            RunnerTable runners,
            RequestDispatcher dispatcher,
            PlannerElection election,
            FleetPlanner planner,
            Clock clock) {
        this.entryName = Assert.hasText(entryName, "entryName");
        this.runners = Assert.notNull(runners, "runners");
        this.dispatcher = Assert.notNull(dispatcher, "desk");
        this.election = Assert.notNull(election, "election");
        this.planner = Assert.notNull(planner, "planner");
        this.clock = Assert.notNull(clock, "clock");
        this.demand = new DemandAggregator(clock);
        this.pacer = new LoadRateLimiter(clock);
        this.keepAtNanos = clock.deadlineNanos(KEEP_MILLIS);
    }

    /**
     * Takes a new configuration.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        config = next;
    }

    /**
     * Learns what the key-value service keeps of the demand.
     *
     * @param record the record
     */
    public void onRecordRead(DemandRecord record) {
        kept = record;
    }

    /**
     * Takes what another entry has in hand.
     *
     * @param frame the other entry's word
     */
    public void receive(ModelDemandFrame frame) {
        demand.receive(frame);
    }

    /**
     * Tells what this entry has in hand.
     *
     * @return one frame for each service with engines
     */
    public List<ModelDemandFrame> ownDemand() {
        List<ModelDemandFrame> frames = new ArrayList<>();
        if (config == null) {
            return frames;
        }
        for (ServedService service : config.engineServices()) {
            Map<String, Integer> inHand = new HashMap<>();
            Map<String, Integer> waiting = new HashMap<>();
            dispatcher.requestsByModel(service.name()).forEach((model, use) -> {
                inHand.put(model, use.inFlight());
                if (use.waiting() > 0) {
                    waiting.put(model, use.waiting());
                }
            });
            frames.add(new ModelDemandFrame(entryName, service.name(), inHand, waiting));
        }
        return frames;
    }

    /** Decides and hands out what is to be loaded, if this entry plans. */
    public void tick() {
        if (config == null || !election.holdsLease()) {
            return;
        }
        if (election.fence() != fence) {
            fence = election.fence();
            sequence = 0;
            pacer.reset();
            recent.clear();
            config.engineServices().forEach(service -> demand.recall(service.name(), kept));
        }
        ownDemand().forEach(demand::receive);
        recent.values().removeIf(move -> clock.isPast(move.shownByNanos()));
        Map<String, Map<String, Double>> requests = new HashMap<>();
        for (ServedService service : config.engineServices()) {
            requests.put(service.name(), plan(service, service.engine().orElseThrow()));
        }
        persist(requests);
    }

    /** Has the demand kept if other models are asked for than those that are kept. */
    private void persist(Map<String, Map<String, Double>> requests) {
        if (!clock.isPast(keepAtNanos)) {
            return;
        }
        keepAtNanos = clock.deadlineNanos(KEEP_MILLIS);
        DemandRecord record = DemandRecord.of(requests);
        if (!record.isEmpty() && !record.isNear(kept)) {
            election.persist(record.encode());
        }
    }

    /** Decides for one service and tells the smoothed requests by model. */
    private Map<String, Double> plan(ServedService service, EngineSpec spec) {
        pacer.rate(spec.loadsPerSecond() * RATE_SHARE, SAVED_LOADS);
        Map<String, EngineFleet.Model> models = new HashMap<>();
        for (EngineModel model : spec.models()) {
            models.put(model.name(), new EngineFleet.Model(model.name(), model.weightsMb()));
        }
        List<EngineFleet.Runner> able = new ArrayList<>();
        for (KnownRunner runner : runners.takingWork(service.name())) {
            if (runner.hasStatus()) {
                able.add(describe(runner, spec));
            }
        }
        EngineFleet fleet = new EngineFleet(spec.slots(), models, able, demand.demand(service.name(), models.keySet()));
        for (ModelMove move : planner.decide(fleet, pacer.available())) {
            give(move, fleet.demand().get(move.load()));
        }
        Map<String, Double> requests = new HashMap<>();
        fleet.demand().forEach((model, asked) -> requests.put(model, asked.requests()));
        return requests;
    }

    private EngineFleet.Runner describe(KnownRunner runner, EngineSpec spec) {
        RunnerStatusFrame status = runner.status();
        Set<String> held = new HashSet<>();
        int adapters = status.pendingAdapters().size();
        for (RunnerStatusFrame.HeldModel model : status.models()) {
            held.add(model.name());
            adapters += model.adapters().size();
        }
        Move move = recent.get(runner.entry().id());
        String loading = move != null ? move.model() : status.loadingModel();
        if (!loading.isEmpty()) {
            held.add(loading);
        }
        double adapterMb =
                spec.models().stream().mapToDouble(EngineModel::adapterMb).max().orElse(0);
        boolean leaving = status.remainingMillis() >= 0;
        return new EngineFleet.Runner(
                runner.entry().id(),
                runner.entry().zone(),
                spec.weightsMb(),
                adapters * adapterMb,
                held,
                !loading.isEmpty() || leaving,
                status.queued() + status.running(),
                status.storedCopies());
    }

    private void give(ModelMove move, EngineFleet.ModelDemand asked) {
        KnownRunner runner = runners.byId(move.runner());
        sequence++;
        ModelOrderFrame order = new ModelOrderFrame(
                fence, sequence, runner.entry().startedAtMillis(), BEGIN_MILLIS, move.load(), move.unload());
        boolean sent = runner.link() != null && runner.link().send(order);
        logger.info(
                "event=model-move runner={} load={} unload={} from_store={} requests={} waiting={} sent={}",
                move.runner(),
                move.load(),
                move.unload(),
                move.fromStore(),
                Math.round(asked.requests()),
                asked.waiting(),
                sent);
        if (sent) {
            recent.put(move.runner(), new Move(move.load(), clock.deadlineNanos(SHOWN_MILLIS)));
            if (move.fromStore()) {
                pacer.consume();
            }
        }
    }

    /** Holds a move that was handed out a moment ago. */
    private record Move(String model, long shownByNanos) {}
}
