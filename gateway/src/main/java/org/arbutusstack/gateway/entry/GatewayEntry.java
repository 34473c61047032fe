package org.arbutusstack.gateway.entry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.UUID;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.plan.DemandRecord;
import org.arbutusstack.gateway.plan.ModelPlanner;
import org.arbutusstack.gateway.plan.PlannerElection;
import org.arbutusstack.gateway.plan.PlannerLink;
import org.arbutusstack.gateway.request.GatewayMetrics;
import org.arbutusstack.gateway.request.RequestDispatcher;
import org.arbutusstack.gateway.request.RequestDispatchers;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.gateway.runner.SideLinks;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.FleetPlanner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves callers of one entry: keeps what is known of configuration and runners, and decides on each request.
 *
 * <p>All state belongs to the entry's loop; the methods are to be called on it, but for those of {@link Service}.
 */
public final class GatewayEntry implements Service {

    private static final Logger logger = LoggerFactory.getLogger(GatewayEntry.class);

    private static final long TICK_MILLIS = 40;

    /** How often links to sides are looked after: a third of the pause before one is opened again. */
    private static final long LINKS_MILLIS = 100;

    private static final long PLAN_MILLIS = 200;

    /** A tick that comes so late shows that the loop itself was held up. */
    private static final long STALL_MILLIS = 200;

    /** The requests in hand that one copy of a model serves well: a third of an engine's batch. */
    private static final double REQUESTS_PER_COPY = 12;

    /** The idle time of a model at which its last copy is half as dear as one asked for just now. */
    private static final long IDLE_MILLIS = 4_000;

    private final EntryDependencies parts;

    private final Clock clock;

    private final RunnerTable runners;

    private final GatewayMetrics metrics;

    private final RequestDispatcher dispatcher;

    private final SideLinks sides;

    private final PlannerElection election;

    private final ModelPlanner planner;

    private final PlannerLink plannerLink;

    private final String identity;

    private volatile ServingConfig config;

    private long tickedAtNanos;

    /**
     * Creates an entry.
     *
     * @param parts what it is built from
     */
    public GatewayEntry(EntryDependencies parts) {
        this.parts = Assert.notNull(parts, "parts");
        this.clock = parts.clock();
        this.runners = new RunnerTable(clock);
        this.metrics = new GatewayMetrics(parts.metrics());
        this.dispatcher = RequestDispatchers.create(
                runners, parts.runners(), parts.callers(), parts.zone(), clock, parts.retries(), metrics);
        this.sides = new SideLinks(
                parts.transport(), parts.sidePort(), runners, parts.loop(), clock, dispatcher::runnerChanged);
        this.identity = parts.address() + ":" + parts.entryPort() + " " + UUID.randomUUID();
        this.election = new PlannerElection(parts.store(), identity, clock);
        this.planner = new ModelPlanner(
                parts.name(), runners, dispatcher, election, new FleetPlanner(REQUESTS_PER_COPY, IDLE_MILLIS), clock);
        this.plannerLink = new PlannerLink(parts.transport(), planner, parts.loop(), clock);
    }

    @Override
    public String name() {
        return "gateway-entry";
    }

    @Override
    public void start() {
        plannerLink.listen(new InetSocketAddress(parts.address(), parts.entryPort()));
        tickedAtNanos = clock.nowNanos();
        election.start();
        parts.loop().every(TICK_MILLIS, this::tick);
        parts.loop().every(LINKS_MILLIS, sides::tick);
        parts.loop().every(PLAN_MILLIS, this::plan);
    }

    @Override
    public void stop() {
        election.stop();
        parts.transport().stop();
    }

    private void tick() {
        boolean stoodStill = clock.isPast(tickedAtNanos + STALL_MILLIS * Clock.NANOS_PER_MILLI);
        tickedAtNanos = clock.nowNanos();
        if (stoodStill) {
            // What others sent meanwhile is not read yet: their silence is this process's own.
            runners.all().forEach(KnownRunner::recordLiveness);
        }
        runners.tick();
        dispatcher.entries(sides.entryCount().entries());
        dispatcher.tick();
    }

    private void plan() {
        planner.tick();
        plannerLink.tick();
    }

    /**
     * Takes a configuration; one that is not later than the present one is passed over.
     *
     * @param next the configuration
     */
    public void applyConfig(ServingConfig next) {
        if (config != null && next.version() <= config.version()) {
            return;
        }
        config = next;
        sides.config(next);
        planner.config(next);
        dispatcher.config(next);
        logger.info("event=config-in-force version={} routes={}", next.version(), next.routeCount());
    }

    /**
     * Tells the configuration in force.
     *
     * @return the configuration; null until one is known
     */
    public ServingConfig config() {
        return config;
    }

    /**
     * Tells the requests in hand.
     *
     * @return the dispatcher that decides on them
     */
    public RequestDispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Counts and times the requests.
     *
     * @return the metrics of this entry
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /** Learns that the directory of runners cannot be read. */
    public void directoryLost() {
        runners.directoryLost();
    }

    /** Learns that the directory of runners can be read again. */
    public void directoryRegained() {
        runners.directoryRegained();
    }

    /**
     * Takes all entries of the directory.
     *
     * @param entries the entries
     */
    public void runnersListed(Collection<RunnerEntry> entries) {
        runners.replaceAll(entries);
        dispatcher.runnersChanged();
    }

    /**
     * Takes a new or changed entry of the directory.
     *
     * @param entry the entry
     */
    public void runnerRegistered(RunnerEntry entry) {
        runners.put(entry);
        dispatcher.runnersChanged();
    }

    /**
     * Takes the end of an entry of the directory.
     *
     * @param id the identifier of the incarnation
     */
    public void runnerRemoved(String id) {
        runners.remove(id);
    }

    /**
     * Learns who plans.
     *
     * @param holder what the planner wrote to its key; empty if nobody holds it
     */
    public void plannerChanged(String holder) {
        election.onHolderRead(holder);
        int space = holder.indexOf(' ');
        boolean other = space > 0 && !holder.equals(identity);
        plannerLink.holder(other ? holder.substring(0, space) : "");
    }

    /**
     * Learns what the store keeps of the demand.
     *
     * @param text the record; empty if there is none
     * @param revision the revision at which it is kept
     */
    public void demandRecordChanged(String text, long revision) {
        election.onRecordRead(revision);
        planner.onRecordRead(DemandRecord.decode(text));
    }

    /**
     * Lists the runners known.
     *
     * @return the runners
     */
    public Collection<KnownRunner> runners() {
        return runners.all();
    }

    /**
     * Tells whether this entry plans which runners hold which models.
     *
     * @return whether it holds the planner's lease
     */
    public boolean isPlanning() {
        return election.holdsLease();
    }

    /**
     * Lists the requests in hand, for the dump of the process's state.
     *
     * @return one line for each
     */
    public List<String> describe() {
        return dispatcher.describe();
    }
}
