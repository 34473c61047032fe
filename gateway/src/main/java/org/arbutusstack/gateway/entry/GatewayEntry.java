package org.arbutusstack.gateway.entry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.arbutusstack.gateway.allotment.AllotmentGate;
import org.arbutusstack.gateway.allotment.AllotmentShare;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.plan.DemandRecord;
import org.arbutusstack.gateway.plan.ModelPlanner;
import org.arbutusstack.gateway.plan.PlannerElection;
import org.arbutusstack.gateway.plan.PlannerLink;
import org.arbutusstack.gateway.quarantine.ContentQuarantine;
import org.arbutusstack.gateway.quarantine.CrashMonitor;
import org.arbutusstack.gateway.quarantine.StrikeExchange;
import org.arbutusstack.gateway.quarantine.TrialSchedule;
import org.arbutusstack.gateway.request.AttemptLimits;
import org.arbutusstack.gateway.request.GatewayMetrics;
import org.arbutusstack.gateway.request.RequestDispatcher;
import org.arbutusstack.gateway.request.RequestDispatchers;
import org.arbutusstack.gateway.request.RoutingContext;
import org.arbutusstack.gateway.request.ZoneCandidates;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.gateway.runner.SideLinks;
import org.arbutusstack.gateway.stream.StreamOrigins;
import org.arbutusstack.gateway.team.TeamGate;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.StreamOriginFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service for the callers of one entry: tracks configuration and runners, and dispatches requests.
 *
 * <p>All state is confined to the entry's event loop. Methods have to be called on that loop, except those of {@link
 * Service}.
 */
public final class GatewayEntry implements Service {

    private static final Logger logger = LoggerFactory.getLogger(GatewayEntry.class);

    private static final long TICK_MILLIS = 40;

    /** Interval between checks of the links to sides: a third of the delay before a link is reopened. */
    private static final long LINK_CHECK_MILLIS = 100;

    private static final long PLAN_MILLIS = 200;

    /** Delay of a tick from which on the loop counts as stalled. */
    private static final long STALL_MILLIS = 200;

    private final EntryDependencies dependencies;

    private final Clock clock;

    private final RunnerTable runners;

    private final GatewayMetrics metrics;

    private final ContentQuarantine quarantine;

    private final StrikeExchange strikes;

    private final CrashMonitor crashMonitor;

    private final PermitClient permits;

    private final ZoneCandidates zones;

    private final AllotmentGate allotments;

    private final StreamOrigins origins;

    private final RequestDispatcher dispatcher;

    private final SideLinks sides;

    private final PlannerElection election;

    private final ModelPlanner planner;

    private final PlannerLink plannerLink;

    private final TeamGate teamGate;

    private final String identity;

    private volatile ServingConfig config;

    private long tickedAtNanos;

    private final QuarantinePersistence quarantinePersistence;

    /**
     * Create an entry.
     *
     * @param dependencies the settings and collaborators of the entry
     */
    public GatewayEntry(EntryDependencies dependencies) {
        this.dependencies = Assert.notNull(dependencies, "dependencies");
        this.clock = dependencies.clock();
        this.runners = new RunnerTable(clock);
        this.metrics = new GatewayMetrics(dependencies.metrics());
        this.teamGate = new TeamGate(dependencies.revokeMillis(), clock);
        TrialSchedule trials = new TrialSchedule(dependencies.name(), this::entryCount, clock);
        this.quarantine =
                new ContentQuarantine(this::retracted, this::isPlanning, trials, clock, dependencies.metrics());
        this.sides = new SideLinks(
                dependencies.transport(),
                dependencies.sidePort(),
                runners,
                dependencies.loop(),
                clock,
                runner -> dispatcher().runnerChanged(runner),
                this::frameReceived);
        this.strikes = new StrikeExchange(
                (host, frame) -> sides.isOpen(host) && sides.send(host, frame),
                frame -> sides.sendToRelays(frame.key(), frame),
                quarantine::strikeReceived,
                clock);
        this.crashMonitor = new CrashMonitor(
                dependencies.probe(), this::healthPathOf, strikes::found, clock, dependencies.metrics());
        this.permits = new PermitClient(dependencies.name(), runners, sides::sendToAccountant, this::entryCount);
        this.zones = new ZoneCandidates(dependencies.zone(), dependencies.zonePenaltyMillis(), clock);
        AllotmentShare share = new AllotmentShare(sides.typicalEntryCount()::entries, sides::linkedPart, clock);
        this.allotments = new AllotmentGate(dependencies.name(), sides, share, clock, dependencies.metrics());
        this.origins = new StreamOrigins(sides, sides::linkedPart, runners, clock);
        this.dispatcher = RequestDispatchers.create(
                new RoutingContext(runners, zones, origins),
                dependencies.runners(),
                dependencies.callers(),
                clock,
                AttemptLimits.ofProcess(
                        dependencies.retries(),
                        permits,
                        allotments,
                        dependencies.backpressure(),
                        dependencies.promptHoldMillis()),
                metrics,
                quarantine,
                crashMonitor);
        this.identity = dependencies.address() + ":" + dependencies.entryPort() + " " + UUID.randomUUID();
        this.election = new PlannerElection(dependencies.store(), identity, clock);
        this.quarantinePersistence = new QuarantinePersistence(quarantine, election, clock);
        this.planner = new ModelPlanner(dependencies.name(), runners, dispatcher, election, clock);
        this.plannerLink = new PlannerLink(dependencies.transport(), planner, strikes, dependencies.loop(), clock);
    }

    @Override
    public String name() {
        return "gateway-entry";
    }

    @Override
    public void start() {
        plannerLink.listen(new InetSocketAddress(dependencies.address(), dependencies.entryPort()));
        tickedAtNanos = clock.nowNanos();
        election.start();
        dependencies.loop().every(TICK_MILLIS, this::tick);
        dependencies.loop().every(LINK_CHECK_MILLIS, sides::tick);
        dependencies.loop().every(LINK_CHECK_MILLIS, origins::tick);
        dependencies.loop().every(PLAN_MILLIS, this::plan);
        dependencies.loop().every(AllotmentGate.TICK_MILLIS, allotments::tick);
    }

    @Override
    public void stop() {
        election.stop();
        dependencies.transport().stop();
    }

    private int entryCount() {
        return sides.entryCount().entries();
    }

    private void frameReceived(String host, Frame frame) {
        if (frame instanceof StrikeFrame strike) {
            quarantine.strikeReceived(strike);
        } else if (frame instanceof PermitFrame permit && permits.received(permit)) {
            dispatcher.runnersChanged();
        } else if (frame instanceof AllotmentGrantFrame grant) {
            allotments.received(host, grant);
        } else if (frame instanceof StreamOriginFrame origin) {
            origins.received(host, origin);
        }
    }

    private void retracted(String host, StrikeFrame frame) {
        strikes.retract(host, frame);
    }

    private String healthPathOf(RunnerEntry server) {
        return config.service(server.service()).map(ServedService::healthPath).orElse("/");
    }

    private void tick() {
        boolean stalled = clock.isPast(tickedAtNanos + STALL_MILLIS * Clock.NANOS_PER_MILLI);
        tickedAtNanos = clock.nowNanos();
        if (stalled) {
            // Messages received during the stall are still unread, so missing signals are not the fault of runners.
            runners.all().forEach(KnownRunner::recordLiveness);
        }
        IsolatedSteps.runAll(
                name(),
                teamGate::tick,
                () -> metrics.updateConfigAge(teamGate.configAgeMillis()),
                runners::tick,
                () -> dispatcher.entries(sides.entryCount().entries()),
                dispatcher::tick,
                crashMonitor::tick,
                permits::tick,
                dependencies.backpressure()::tick);
    }

    private void plan() {
        IsolatedSteps.runAll(name(), planner::tick, plannerLink::tick, quarantinePersistence::tick);
    }

    /**
     * Apply a configuration, unless its version is not later than the current one.
     *
     * @param next the configuration
     */
    public void applyConfig(ServingConfig next) {
        if (config != null && next.version() <= config.version()) {
            return;
        }
        config = next;
        teamGate.config(next);
        sides.config(next);
        planner.config(next);
        dispatcher.config(next);
        allotments.config(next);
        logger.info("event=config-in-force version={} routes={}", next.version(), next.routeCount());
    }

    /**
     * Return the current configuration.
     *
     * @return the configuration; {@code null} until one has been received
     */
    public ServingConfig config() {
        return config;
    }

    /**
     * Return the gate that admits callers by their keys.
     *
     * @return the gate; knows no configuration until {@link #config()} does
     */
    public TeamGate teamGate() {
        return teamGate;
    }

    /**
     * Return the dispatcher of the requests in flight.
     *
     * @return the dispatcher
     */
    public RequestDispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Return the metrics of requests.
     *
     * @return the metrics of this entry
     */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /** Called when the directory of runners has become unavailable. */
    public void directoryLost() {
        runners.directoryLost();
    }

    /** Called when the directory of runners is available again. */
    public void directoryRegained() {
        runners.directoryRegained();
    }

    /**
     * Replace the known runners by those listed in the directory.
     *
     * @param entries all entries of the directory
     */
    public void runnersListed(Collection<RunnerEntry> entries) {
        runners.replaceAll(entries);
        IsolatedSteps.forEach(name(), entries, crashMonitor::registered);
        dispatcher.runnersChanged();
    }

    /**
     * Add or update a runner.
     *
     * @param entry the new or changed directory entry
     */
    public void runnerRegistered(RunnerEntry entry) {
        runners.put(entry);
        crashMonitor.registered(entry);
        dispatcher.runnersChanged();
    }

    /**
     * Remove a runner whose directory entry has been deleted.
     *
     * @param id the identifier of the runner's incarnation
     */
    public void runnerRemoved(String id) {
        runners.remove(id);
    }

    /**
     * Called when the holder of the planner key has been read.
     *
     * @param holder the value of the key, which starts with the holder's address; empty if no entry holds it
     */
    public void plannerChanged(String holder) {
        election.onHolderRead(holder);
        int space = holder.indexOf(' ');
        boolean heldByOther = space > 0 && !holder.equals(identity);
        plannerLink.holder(heldByOther ? holder.substring(0, space) : "");
    }

    /**
     * Called when the persisted demand record has been read.
     *
     * @param text the encoded record; empty if there is none
     * @param revision the store revision of the record
     */
    public void demandRecordChanged(String text, long revision) {
        election.onRecordRead(DemandRecord.KEY, revision);
        planner.onRecordRead(DemandRecord.decode(text));
    }

    /**
     * Called when the persisted record of the quarantine has been read.
     *
     * @param text the encoded record; empty if there is none
     * @param revision the store revision of the record
     */
    public void quarantineRecordChanged(String text, long revision) {
        quarantinePersistence.recordRead(text, revision);
    }

    /**
     * Return the known runners.
     *
     * @return the runners
     */
    public Collection<KnownRunner> runners() {
        return runners.all();
    }

    /**
     * Return whether this entry plans which runners hold which models.
     *
     * @return whether it holds the planner's lease
     */
    public boolean isPlanning() {
        return election.holdsLease();
    }

    /**
     * Describe the state of the parts of this entry for the state dump of the process.
     *
     * @return lines by the name of the part: rules and strikes, shares that leave the availability zone, bytes held for
     *     callers and runners, allotments of teams in use, and requests in flight
     */
    public Map<String, List<String>> describe() {
        Map<String, List<String>> parts = new LinkedHashMap<>();
        parts.put("quarantine", quarantine.describe());
        parts.put("zones", zones.describe());
        parts.put("backpressure", List.of(dependencies.backpressure().describe()));
        parts.put("allotments", allotments.describe());
        parts.put("requests", dispatcher.describe());
        return parts;
    }
}
