package org.arbutusstack.entry.plan;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreLease;

/**
 * Service that plans the services whose lease this process holds. For each other service it checks once a second
 * whether the lease is vacant, provided that this entry is a candidate for it.
 *
 * <p>Runs on an event loop of its own.
 */
public final class PlannerService implements Service {

    private static final int RING_SIZE = 4;

    private static final long PERIOD_MILLIS = 300;

    private final LogReplica replica;

    private final PlannerCandidates candidates;

    private final PlannerContext context;

    private final StoreLease lease;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>("planner", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("planner-ticker");

    private final Map<String, ServicePlanner> planners = new TreeMap<>();

    /**
     * Create a new {@code PlannerService}.
     *
     * @param identity the identity of this entry
     * @param store the client of the key-value service
     * @param replica the local replica of the ticket log
     * @param plans the registry that receives the plans written
     * @param directory the directory of reachable runners
     * @param candidates the entries that may plan each service
     * @param planner the algorithm that decides on placements
     * @param timing the time settings of the planner
     * @param clock the process clock
     * @param metrics the metrics registry of the process
     */
    public PlannerService(
            EntryIdentity identity,
            KeyValueStore store,
            LogReplica replica,
            PlanRegistry plans,
            RunnerDirectory directory,
            PlannerCandidates candidates,
            Planner planner,
            PlannerTiming timing,
            Clock clock,
            PrometheusRegistry metrics) {
        this.replica = Assert.notNull(replica, "replica");
        this.candidates = Assert.notNull(candidates, "candidates");
        this.context = new PlannerContext(
                Assert.notNull(identity, "identity"),
                Assert.notNull(store, "store"),
                Assert.notNull(plans, "plans"),
                Assert.notNull(directory, "directory"),
                Assert.notNull(planner, "planner"),
                Assert.notNull(timing, "timing"),
                Assert.notNull(clock, "clock"),
                new PlannerMetrics(metrics));
        this.lease = new StoreLease(store, clock, PlannerContext.CALL_MILLIS);
    }

    @Override
    public String name() {
        return "planner";
    }

    @Override
    public void start() {
        eventLoop.start();
        ticker.every(PERIOD_MILLIS, () -> eventLoop.offer(this::run));
    }

    /** Run one planning cycle over all services. */
    void run() {
        if (!lease.renew()) {
            IsolatedSteps.forEach(name(), planners.values(), ServicePlanner::stepDown);
        }
        DesiredState state = replica.state();
        state.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.ENGINE)
                .filter(service -> candidates.isCandidate(context.identity().name(), service.name()))
                .map(service -> planners.computeIfAbsent(service.name(), name -> new ServicePlanner(name, context)))
                .forEach(planner -> IsolatedSteps.run(name(), () -> planner.run(state, lease)));
    }

    @Override
    public void stop() {
        ticker.stop();
        eventLoop.stop();
        lease.revoke();
    }
}
