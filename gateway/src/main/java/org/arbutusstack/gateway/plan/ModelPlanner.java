package org.arbutusstack.gateway.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusstack.gateway.config.EngineModel;
import org.arbutusstack.gateway.config.EngineSpec;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.request.RequestDispatcher;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.BoundDemand;
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
 * Service that collects the state of the fleet, runs the planner on it, and sends the resulting orders to the sides,
 * while this entry holds the planner's lease.
 *
 * <p>Confined to the entry's event loop.
 *
 * @see FleetPlanner
 */
public final class ModelPlanner {

    private static final Logger logger = LoggerFactory.getLogger(ModelPlanner.class);

    /** Time within which a side has to start an order; a few of its poll intervals. */
    private static final long ORDER_VALIDITY_MILLIS = 4_000;

    /** How long a move counts as in progress before the side reports it. */
    private static final long REPORT_DELAY_MILLIS = 800;

    /** Share of the permitted load rate in use, since the windows of the limit need not be those of the limiter. */
    private static final double RATE_SHARE = 0.9;

    private static final double MAX_BURST_LOADS = 3;

    /**
     * Interval between comparisons of the demand with the persisted record; about as long as a shift of demand takes.
     */
    private static final long PERSIST_INTERVAL_MILLIS = 5_000;

    /** Requests in flight that one copy of a model serves well: a third of an engine's batch. */
    private static final double REQUESTS_PER_COPY = 12;

    /** Idle time of a model at which its last copy is worth half as much as that of a model requested just now. */
    private static final long IDLE_MILLIS = 4_000;

    private final RunnerTable runners;

    private final RequestDispatcher dispatcher;

    private final PlannerElection election;

    private final FleetPlanner planner;

    private final DemandAggregator demand;

    private final LoadRateLimiter loadLimiter;

    private final Clock clock;

    private final String entryName;

    private final Map<String, PendingMove> pendingMoves = new HashMap<>();

    private ServingConfig config;

    private long fence;

    private long sequence;

    /** The demand persisted in the key-value service. */
    private DemandRecord persisted = DemandRecord.EMPTY;

    private long persistAtNanos;

    /**
     * Create the planner of an entry; it is idle until it has a configuration and the lease.
     *
     * @param entryName the name of the entry, reported with its demand
     * @param runners the runners known to the entry
     * @param dispatcher the source of the entry's requests in flight by model
     * @param election the election, which determines whether this entry plans
     * @param clock the clock of the process
     */
    public ModelPlanner(
            String entryName,
            RunnerTable runners,
            RequestDispatcher dispatcher,
            PlannerElection election,
            Clock clock) {
        this.entryName = Assert.hasText(entryName, "entryName");
        this.runners = Assert.notNull(runners, "runners");
        this.dispatcher = Assert.notNull(dispatcher, "dispatcher");
        this.election = Assert.notNull(election, "election");
        this.planner = new FleetPlanner(REQUESTS_PER_COPY, IDLE_MILLIS);
        this.clock = Assert.notNull(clock, "clock");
        this.demand = new DemandAggregator(clock);
        this.loadLimiter = new LoadRateLimiter(clock);
        this.persistAtNanos = clock.deadlineNanos(PERSIST_INTERVAL_MILLIS);
    }

    /**
     * Apply a new configuration.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        config = next;
    }

    /**
     * Receive the demand persisted in the key-value service, as read last.
     *
     * @param record the record
     */
    public void onRecordRead(DemandRecord record) {
        persisted = record;
    }

    /**
     * Receive the demand of another entry.
     *
     * @param frame the report of the other entry
     */
    public void receive(ModelDemandFrame frame) {
        demand.receive(frame);
    }

    /**
     * Return the demand of this entry.
     *
     * @return one report for each service with engines; none before the first configuration
     */
    public List<ModelDemandFrame> ownDemand() {
        List<ModelDemandFrame> frames = new ArrayList<>();
        if (config == null) {
            return frames;
        }
        for (ServedService service : config.engineServices()) {
            Map<String, Integer> inFlight = new HashMap<>();
            Map<String, Integer> waiting = new HashMap<>();
            Map<String, Map<String, Integer>> waitingByVersion = new HashMap<>();
            dispatcher.requestsByModel(service.name()).forEach((model, use) -> {
                inFlight.put(model, use.inFlight());
                if (use.waiting() > 0) {
                    waiting.put(model, use.waiting());
                }
                use.waitingByVersion().forEach((version, count) -> waitingByVersion
                        .computeIfAbsent(version, key -> new HashMap<>())
                        .put(model, count));
            });
            frames.add(new ModelDemandFrame(entryName, service.name(), inFlight, waiting, waitingByVersion));
        }
        return frames;
    }

    /** Decide on moves and send them as orders, if this entry holds the lease. */
    public void tick() {
        if (config == null || !election.holdsLease()) {
            return;
        }
        if (election.fence() != fence) {
            fence = election.fence();
            sequence = 0;
            loadLimiter.reset();
            pendingMoves.clear();
            config.engineServices().forEach(service -> demand.restore(service.name(), persisted));
        }
        ownDemand().forEach(demand::receive);
        pendingMoves.values().removeIf(move -> clock.isPast(move.expiresAtNanos()));
        Map<String, Map<String, Double>> requests = new HashMap<>();
        IsolatedSteps.forEach(
                "planner",
                config.engineServices(),
                service -> requests.put(
                        service.name(), plan(service, service.engine().orElseThrow())));
        persist(requests);
    }

    /** Persist the demand if it differs substantially from the persisted record. */
    private void persist(Map<String, Map<String, Double>> requests) {
        if (!clock.isPast(persistAtNanos)) {
            return;
        }
        persistAtNanos = clock.deadlineNanos(PERSIST_INTERVAL_MILLIS);
        DemandRecord record = DemandRecord.of(requests);
        if (!record.isEmpty() && !record.isSimilarTo(persisted)) {
            election.persist(DemandRecord.KEY, record.encode());
        }
    }

    /**
     * Decide for one service and send its orders.
     *
     * @return the smoothed number of requests by model
     */
    private Map<String, Double> plan(ServedService service, EngineSpec spec) {
        loadLimiter.rate(spec.loadsPerSecond() * RATE_SHARE, MAX_BURST_LOADS);
        Map<String, EngineFleet.Model> models = new HashMap<>();
        for (EngineModel model : spec.models()) {
            models.put(model.name(), new EngineFleet.Model(model.name(), model.weightsMb()));
        }
        List<EngineFleet.Runner> accepting = new ArrayList<>();
        for (KnownRunner runner : runners.takingWork(service.name())) {
            if (runner.hasStatus()) {
                accepting.add(describe(runner, spec));
            }
        }
        EngineFleet fleet =
                new EngineFleet(spec.slots(), models, accepting, demand.demand(service.name(), models.keySet()));
        for (ModelMove move : planner.decide(fleet, boundDemand(service.name()), loadLimiter.available())) {
            sendOrder(move, fleet.demand().get(move.load()));
        }
        Map<String, Double> requests = new HashMap<>();
        fleet.demand().forEach((model, modelDemand) -> requests.put(model, modelDemand.requests()));
        return requests;
    }

    private List<BoundDemand> boundDemand(String service) {
        List<BoundDemand> bound = new ArrayList<>();
        demand.waitingByVersion(service).forEach((version, waiting) -> {
            Set<String> names = runnersOf(service, version);
            if (!names.isEmpty()) {
                bound.add(new BoundDemand(names, waiting));
            }
        });
        return bound;
    }

    private Set<String> runnersOf(String service, String version) {
        return runners.takingWork(service).stream()
                .map(KnownRunner::entry)
                .filter(entry -> entry.softwareVersion().equals(version))
                .map(RunnerEntry::id)
                .collect(Collectors.toSet());
    }

    private EngineFleet.Runner describe(KnownRunner runner, EngineSpec spec) {
        RunnerStatusFrame status = runner.status();
        Set<String> held = new HashSet<>();
        int adapters = status.pendingAdapters().size();
        for (RunnerStatusFrame.HeldModel model : status.models()) {
            held.add(model.name());
            adapters += model.adapters().size();
        }
        PendingMove move = pendingMoves.get(runner.entry().id());
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

    private void sendOrder(ModelMove move, EngineFleet.ModelDemand modelDemand) {
        KnownRunner runner = runners.byId(move.runner());
        sequence++;
        ModelOrderFrame order = new ModelOrderFrame(
                fence, sequence, runner.entry().startedAtMillis(), ORDER_VALIDITY_MILLIS, move.load(), move.unload());
        boolean sent = runner.link() != null && runner.link().send(order);
        logger.info(
                "event=model-move runner={} load={} unload={} from_store={} requests={} waiting={} sent={}",
                move.runner(),
                move.load(),
                move.unload(),
                move.fromStore(),
                Math.round(modelDemand.requests()),
                modelDemand.waiting(),
                sent);
        if (sent) {
            pendingMoves.put(move.runner(), new PendingMove(move.load(), clock.deadlineNanos(REPORT_DELAY_MILLIS)));
            if (move.fromStore()) {
                loadLimiter.consume();
            }
        }
    }

    /** Move that was sent recently and that the side may not report yet. */
    private record PendingMove(String model, long expiresAtNanos) {}
}
