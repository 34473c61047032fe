package org.arbutusstack.entry.plan;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
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
 * Plans the services that this process holds by its lease; for the others it looks once a second whether they are
 * vacant, if it is one of the few entries that may plan them.
 *
 * <p>Runs on a duty of its own.
 */
public final class PlannerService implements Service {

    private static final int RING_SIZE = 4;

    private static final long PERIOD_MILLIS = 300;

    private final LogReplica replica;

    private final PlannerCandidates roster;

    private final PlannerContext context;

    private final StoreLease lease;

    private final EventLoop<Runnable> duty = new EventLoop<>("planner", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("planner-ticker");

    private final Map<String, ServicePlanner> planners = new TreeMap<>();

    /**
     * Creates the service.
     *
     * @param identity who the entry is
     * @param store the key-value service
     * @param replica this process's copy of the ticket log
     * @param book takes the plans written
     * @param directory tells the runners
     * @param roster tells which entries may plan a service
     * @param planner decides
     * @param timing the spans of time
     * @param clock the clock of the process
     * @param metrics the process's metrics
     */
    public PlannerService(
            EntryIdentity identity,
            KeyValueStore store,
            LogReplica replica,
            PlanRegistry book,
            RunnerDirectory directory,
            PlannerCandidates roster,
            Planner planner,
            PlannerTiming timing,
            Clock clock,
            PrometheusRegistry metrics) {
        this.replica = Assert.notNull(replica, "replica");
        this.roster = Assert.notNull(roster, "roster");
        this.context = new PlannerContext(
                Assert.notNull(identity, "identity"),
                Assert.notNull(store, "store"),
                Assert.notNull(book, "book"),
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
        duty.start();
        ticker.every(PERIOD_MILLIS, () -> duty.offer(this::run));
    }

    /** Goes once through the services. */
    void run() {
        if (!lease.renew()) {
            planners.values().forEach(ServicePlanner::giveUp);
        }
        DesiredState state = replica.state();
        state.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.ENGINE)
                .filter(service -> roster.isCandidate(context.identity().name(), service.name()))
                .forEach(service -> planners.computeIfAbsent(service.name(), name -> new ServicePlanner(name, context))
                        .run(state, lease));
    }

    @Override
    public void stop() {
        ticker.stop();
        duty.stop();
        lease.revoke();
    }
}
