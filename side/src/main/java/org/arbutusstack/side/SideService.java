package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.side.claim.ClaimLimits;
import org.arbutusstack.side.claim.ClaimMetrics;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.wire.frame.CancelFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.frame.PlanFrame;
import org.arbutusstack.wire.frame.SideReportFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service of the side role: an event loop that owns the queue, the memory ledger and the links of one backend server.
 *
 * <p>Register it with the kernel after the transport. {@link #isReady()} and {@link #stateDump()} may be called by any
 * thread.
 */
public final class SideService implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "side";

    private static final Logger logger = LoggerFactory.getLogger(SideService.class);

    private static final int RING_SIZE = 8_192;

    private static final long TICK_INTERVAL_MILLIS = 50;

    private static final long LOAD_QUERY_INTERVAL_MILLIS = 250;

    private static final int MISSED_LOADS_LIMIT = 3;

    private static final long DRAIN_NOTICE_MILLIS = 500;

    private static final long DRAIN_POLL_MILLIS = 20;

    private final SideIdentity identity;

    private final InetSocketAddress linkAddress;

    private final LinkTransport transport;

    private final Clock clock;

    private final LogReplica replica;

    private final EventLoop<SideEvent> eventLoop = new EventLoop<>("side", RING_SIZE, this::handle);

    private final Ticker ticker = new Ticker("side-ticker");

    private final BackendClient backend;

    private final ClaimCoordinator claims;

    private final Residency residency;

    private final WorkRunner runner;

    private final WorkDispatcher dispatcher;

    private final MemoryMetrics memoryMetrics;

    private final SidePeers peers;

    private final SuspectRequestTracker suspects;

    private final EventPublisher publisher;

    private final ReportSchedule reportSchedule;

    private final AtomicBoolean loadQueryPending = new AtomicBoolean();

    private final AtomicReference<SideReportFrame> lastReport = new AtomicReference<>();

    private volatile boolean idle = true;

    private volatile boolean backendAnswers;

    private volatile WorkStatus workStatus = WorkStatus.EMPTY;

    private long appliedSequence;

    private int missedLoads;

    private long nextLoadQueryAtNanos;

    /**
     * Create a new side service.
     *
     * @param identity the identity of the side
     * @param linkAddress the address to listen on for links
     * @param transport the transport that accepts the links
     * @param client the client for calls to the backend server
     * @param store the key-value service
     * @param replica this process's replica of the ticket log
     * @param clock the clock of the process
     * @param workLimits the limits of queued and running work
     * @param engine the guarantees and limits of the engine
     * @param claimLimits the limits of claims of non-idempotent calls
     * @param metrics the registry for the metrics
     * @param trail the audit trail that receives the end of each request
     */
    public SideService(
            SideIdentity identity,
            InetSocketAddress linkAddress,
            LinkTransport transport,
            HttpClient client,
            KeyValueStore store,
            LogReplica replica,
            Clock clock,
            WorkLimits workLimits,
            EngineContract engine,
            ClaimLimits claimLimits,
            PrometheusRegistry metrics,
            AuditTrail trail) {
        this.identity = Assert.notNull(identity, "identity");
        this.linkAddress = Assert.notNull(linkAddress, "linkAddress");
        this.transport = Assert.notNull(transport, "transport");
        this.clock = Assert.notNull(clock, "clock");
        this.replica = Assert.notNull(replica, "replica");
        this.backend = new BackendClient(client, identity.backend(), clock, engine.orderMillis(), this::offer);
        this.claims = new ClaimCoordinator(store, clock, identity, claimLimits, new ClaimMetrics(metrics), this::offer);
        WorkRegistry workRegistry = new WorkRegistry();
        this.memoryMetrics = new MemoryMetrics(metrics);
        AdapterCache cache = new AdapterCache(clock, engine.adapterLoadsAtOnce(), engine.adapterStickyMillis());
        this.residency = new Residency(
                identity, engine.ledger(clock.nowNanos()), cache, clock, this::sendOrder, workRegistry::all);
        WorkMetrics workMetrics = new WorkMetrics(metrics);
        this.publisher = new EventPublisher(eventLoop, workMetrics);
        this.reportSchedule = new ReportSchedule(clock);
        AnswerSender answers =
                new AnswerSender(identity.name(), () -> replica.state().sequence(), trail, workMetrics);
        this.peers = new SidePeers(replica, clock);
        this.suspects = new SuspectRequestTracker(
                identity.incarnation(), clock, workLimits.quarantineMillis(), peers::broadcast, metrics);
        this.runner = new WorkRunner(clock, backend, claims, workRegistry, suspects, answers);
        this.dispatcher = new WorkDispatcher(clock, backend, runner, workRegistry, suspects, answers, workLimits);
    }

    @Override
    public String name() {
        return NAME;
    }

    private void sendOrder(EngineOrder order) {
        memoryMetrics.orderSent(order);
        backend.sendOrder(order);
    }

    private void offer(SideEvent event) {
        publisher.offer(event);
    }

    @Override
    public void start() {
        eventLoop.start();
        claims.start();
        transport.listen(linkAddress, new EventListener());
        ticker.every(TICK_INTERVAL_MILLIS, () -> eventLoop.offer(new SideEvent.Tick()));
    }

    @Override
    public void drain(long deadlineNanos) {
        idle = false;
        offer(new SideEvent.DrainStarted());
        long noticeEndNanos = clock.deadlineNanos(DRAIN_NOTICE_MILLIS);
        while (!isDrained(noticeEndNanos) && !clock.isPast(deadlineNanos)) {
            clock.pause(DRAIN_POLL_MILLIS);
        }
    }

    /** Return whether all work ended, all outcomes are recorded, and the peers had time to receive the drain notice. */
    private boolean isDrained(long noticeEndNanos) {
        return idle && claims.isIdle() && clock.isPast(noticeEndNanos);
    }

    @Override
    public void stop() {
        ticker.stop();
        claims.stop();
        eventLoop.stop();
    }

    private void handle(SideEvent event) {
        if (event instanceof SideEvent.FrameArrived arrived) {
            handleFrame(arrived.link(), arrived.frame());
        } else if (event instanceof SideEvent.BackendHead head) {
            runner.handleHead(head.work(), head.status(), head.contentType());
        } else if (event instanceof SideEvent.BackendBytes bytes) {
            runner.handleBytes(bytes.work(), bytes.bytes());
        } else if (event instanceof SideEvent.BackendEnded ended) {
            runner.handleEnd(ended.work());
        } else if (event instanceof SideEvent.BackendFailed failed) {
            runner.handleFailure(failed.work(), failed.failure());
        } else if (event instanceof SideEvent.ClaimSettled settled) {
            runner.handleClaimResult(settled.work(), settled.result());
        } else {
            handleOther(event);
        }
        boolean freesNoSlot = event instanceof SideEvent.BackendBytes || event instanceof SideEvent.BackendHead;
        if (!freesNoSlot) {
            dispatcher.dispatch(this::isReady);
        }
    }

    private void handleOther(SideEvent event) {
        if (event instanceof SideEvent.LinkOpened opened) {
            peers.linkOpened(opened.link(), identity.hello());
            suspects.sendStrikes(opened.link());
            report(true);
        } else if (event instanceof SideEvent.LinkClosed closed) {
            peers.linkClosed(closed.link());
            dispatcher.linkClosed(closed.link());
        } else if (event instanceof SideEvent.OrderEnded ended) {
            memoryMetrics.orderEnded(ended.order(), ended.failure() == null);
            residency.orderEnded(ended.order(), ended.failure());
            nextLoadQueryAtNanos = clock.nowNanos();
            report(true);
        } else if (event instanceof SideEvent.LoadReported reported) {
            handleLoadReport(reported.load(), reported.askedAtNanos());
        } else if (event instanceof SideEvent.FenceGranted granted) {
            residency.fenceGranted(granted.fence());
        } else if (event instanceof SideEvent.Tick) {
            tick();
        } else if (event instanceof SideEvent.DrainStarted) {
            dispatcher.drain();
            peers.announceLeaving();
            report(true);
        }
    }

    private void handleFrame(Link link, Frame frame) {
        if (frame instanceof WorkFrame work) {
            dispatcher.receive(work, link);
        } else if (frame instanceof CancelFrame cancel) {
            dispatcher.cancel(cancel.id(), cancel.attempt());
        } else if (frame instanceof StrikeFrame strike) {
            suspects.handleStrike(strike);
        } else if (frame instanceof HelloFrame hello) {
            dispatcher.entryStarted(hello.name(), hello.incarnation());
        } else if (peers.handleFrame(link, frame)) {
            handleLogAdvance();
        } else if (frame instanceof PlanFrame plan) {
            residency.adopt(JsonCodec.read(plan.plan(), Plan.class));
            report(true);
        }
    }

    private void handleLogAdvance() {
        if (state().sequence() > appliedSequence) {
            appliedSequence = state().sequence();
            residency.stateAdvanced(state());
            peers.logAdvanced();
            report(true);
        }
    }

    private DesiredState state() {
        return replica.state();
    }

    private boolean isEngine() {
        return state().isEngine(identity.service());
    }

    private boolean isReady(WorkItem work) {
        return work.frame().model().isEmpty() || residency.isReady(work);
    }

    private void handleLoadReport(JsonNode load, long askedAtNanos) {
        loadQueryPending.set(false);
        missedLoads = load == null ? missedLoads + 1 : 0;
        backendAnswers =
                load != null || backendAnswers && missedLoads < MISSED_LOADS_LIMIT && !suspects.hasUnexplainedLoss();
        if (load == null && suspects.hasUnexplainedLoss()) {
            dispatcher.refuseWaitingEngineWork();
            report(true);
        }
        if (load != null && (isEngine() || load.path("memory_mb").asLong() > 0)) {
            suspects.loadReported(load);
            residency.engineReported(load, askedAtNanos);
            memoryMetrics.update(residency.ledger());
            dispatcher.slotsReported(load.path("slots").asInt(Integer.MAX_VALUE));
        }
    }

    private void tick() {
        publisher.drainOverflow(this::handle);
        peers.tick();
        dispatcher.expire();
        if (isEngine()) {
            residency.reconcile();
        }
        claims.tick();
        workStatus = new WorkStatus(
                dispatcher.queued(),
                dispatcher.queuedBytes(),
                dispatcher.running(),
                dispatcher.slots(),
                suspects.size(),
                claims.pendingChanges());
        idle = dispatcher.isDraining() && dispatcher.isIdle();
        boolean queryDue = suspects.hasUnexplainedLoss() || clock.isPast(nextLoadQueryAtNanos);
        if (queryDue && loadQueryPending.compareAndSet(false, true)) {
            nextLoadQueryAtNanos = clock.deadlineNanos(LOAD_QUERY_INTERVAL_MILLIS);
            suspects.loadRequested();
            backend.requestLoad();
        }
        peers.closeUnresponsive(clock);
        report(false);
    }

    /** Report changes to the entries when they are due; send the whole report if {@code force} is set. */
    private void report(boolean force) {
        SideReportFrame report = new SideReportFrame(
                state().sequence(),
                residency.plan().fence(),
                residency.plan().sequence(),
                residency.ledger().sizeMb(),
                residency.ledger().committedMb(),
                residency.ledger().modelsMb(),
                dispatcher.queued(),
                dispatcher.running(),
                residency.readyModels(),
                residency.otherModels(),
                residency.readyAdapters(),
                residency.demand(),
                dispatcher.isDraining() || !backendAnswers);
        lastReport.set(report);
        reportSchedule.nextFrame(report, force).ifPresent(peers::broadcast);
    }

    /** {@return whether the side can serve: its backend server responds and its ticket log is not empty} */
    public boolean isReady() {
        return backendAnswers && state().sequence() > 0;
    }

    /** {@return the state of the side for the operator, as JSON in UTF-8} */
    public byte[] stateDump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("role", "side");
        dump.put("name", identity.name());
        dump.put("service", identity.service());
        dump.put("zone", identity.zone());
        dump.put("incarnation", identity.incarnation());
        dump.put("sequence", state().sequence());
        dump.put("chain", state().chain().hex());
        dump.put("backendAnswers", backendAnswers);
        dump.put("report", lastReport.get());
        dump.put("work", workStatus);
        dump.put("ring", Map.of("depth", eventLoop.depth(), "capacity", eventLoop.capacity()));
        return JsonCodec.write(dump);
    }

    /** Listener that publishes the events of links to the event loop. */
    private final class EventListener implements LinkListener {

        @Override
        public void onOpen(Link link) {
            offer(new SideEvent.LinkOpened(link));
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            offer(new SideEvent.FrameArrived(link, frame));
        }

        @Override
        public void onClosed(Link link) {
            offer(new SideEvent.LinkClosed(link));
        }
    }
}
