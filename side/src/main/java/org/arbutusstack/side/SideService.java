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
import org.arbutusstack.kernel.ring.Duty;
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
 * Runs the side's duty: one thread that owns the queue, the memory ledger and the links of one backend server.
 *
 * <p>Register it with the kernel after the transport. {@link #stateDump()} may be called by any thread.
 */
public final class SideService implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "side";

    private static final Logger logger = LoggerFactory.getLogger(SideService.class);

    private static final int RING_SIZE = 8_192;

    private static final long TICK_MILLIS = 50;

    private static final long LOAD_PERIOD_MILLIS = 250;

    private static final int LOADS_MISSED_TO_LEAVE = 3;

    private static final long LEAVING_NOTICE_MILLIS = 500;

    private static final long DRAIN_POLL_MILLIS = 20;

    private final SideIdentity identity;

    private final InetSocketAddress linkAddress;

    private final LinkTransport transport;

    private final Clock clock;

    private final LogReplica replica;

    private final Duty<SideEvent> duty = new Duty<>("side", RING_SIZE, this::handle);

    private final Ticker ticker = new Ticker("side-ticker");

    private final Backend backend;

    private final ClaimDesk claims;

    private final Residency residency;

    private final WorkRunner runner;

    private final WorkDesk desk;

    private final MemoryMetrics memoryMetrics;

    private final SidePeers peers;

    private final SuspectDesk suspects;

    private final EventGate gate;

    private final ReportSchedule reports;

    private final AtomicBoolean loadAsked = new AtomicBoolean();

    private final AtomicReference<SideReportFrame> present = new AtomicReference<>();

    private volatile boolean idle = true;

    private volatile boolean backendAnswers;

    private volatile WorkStatus workStatus = WorkStatus.EMPTY;

    private long appliedSequence;

    private int missedLoads;

    private long loadAskAtNanos;

    /**
     * Creates the service.
     *
     * @param identity who the side is
     * @param linkAddress where links are taken
     * @param transport takes the links
     * @param client reaches the backend server
     * @param store the key-value service
     * @param replica this process's copy of the ticket log
     * @param clock the clock of the process
     * @param workLimits bounds the work
     * @param engine what the engine promises
     * @param claimLimits bounds the claims of calls that may not be repeated
     * @param metrics the process's metrics
     * @param trail takes what an auditor may ask about
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
        this.backend = new Backend(client, identity.backend(), clock, engine.orderMillis(), this::offer);
        this.claims = new ClaimDesk(store, clock, identity, claimLimits, new ClaimMetrics(metrics), this::offer);
        OpenWork open = new OpenWork();
        this.memoryMetrics = new MemoryMetrics(metrics);
        AdapterCache cache = new AdapterCache(clock, engine.adapterLoadsAtOnce(), engine.adapterStickyMillis());
        this.residency = new Residency(identity, engine.ledger(clock.nowNanos()), cache, clock, this::order, open::all);
        WorkMetrics workMetrics = new WorkMetrics(metrics);
        this.gate = new EventGate(duty, workMetrics);
        this.reports = new ReportSchedule(clock);
        AnswerSender answers =
                new AnswerSender(identity.name(), () -> replica.state().sequence(), trail, workMetrics);
        this.peers = new SidePeers(replica, clock);
        this.suspects = new SuspectDesk(
                identity.incarnation(), clock, workLimits.quarantineMillis(), peers::broadcast, metrics);
        this.runner = new WorkRunner(clock, backend, claims, open, suspects, answers);
        this.desk = new WorkDesk(clock, backend, runner, open, suspects, answers, workLimits);
    }

    @Override
    public String name() {
        return NAME;
    }

    private void order(EngineOrder order) {
        memoryMetrics.sent(order);
        backend.order(order);
    }

    private void offer(SideEvent event) {
        gate.offer(event);
    }

    @Override
    public void start() {
        duty.start();
        claims.start();
        transport.listen(linkAddress, new EventListener());
        ticker.every(TICK_MILLIS, () -> duty.offer(new SideEvent.Tick()));
    }

    @Override
    public void drain(long deadlineNanos) {
        idle = false;
        offer(new SideEvent.DrainBegun());
        long noticedAtNanos = clock.deadlineNanos(LEAVING_NOTICE_MILLIS);
        while (!isDrained(noticedAtNanos) && !clock.isPast(deadlineNanos)) {
            clock.pause(DRAIN_POLL_MILLIS);
        }
    }

    /** Waits also for outcomes to be recorded, and until the peers know that the side leaves. */
    private boolean isDrained(long noticedAtNanos) {
        return idle && claims.isIdle() && clock.isPast(noticedAtNanos);
    }

    @Override
    public void stop() {
        ticker.stop();
        claims.stop();
        duty.stop();
    }

    private void handle(SideEvent event) {
        if (event instanceof SideEvent.FrameArrived arrived) {
            frame(arrived.link(), arrived.frame());
        } else if (event instanceof SideEvent.BackendHead head) {
            runner.head(head.work(), head.status(), head.contentType());
        } else if (event instanceof SideEvent.BackendBytes bytes) {
            runner.bytes(bytes.work(), bytes.bytes());
        } else if (event instanceof SideEvent.BackendEnded ended) {
            runner.backendEnded(ended.work());
        } else if (event instanceof SideEvent.BackendFailed failed) {
            runner.backendFailed(failed.work(), failed.failure());
        } else if (event instanceof SideEvent.ClaimSettled settled) {
            runner.claimSettled(settled.work(), settled.result());
        } else {
            handleOther(event);
        }
        boolean freesNothing = event instanceof SideEvent.BackendBytes || event instanceof SideEvent.BackendHead;
        if (!freesNothing) {
            desk.dispatch(this::isReady);
        }
    }

    private void handleOther(SideEvent event) {
        if (event instanceof SideEvent.LinkOpened opened) {
            peers.opened(opened.link(), identity.hello());
            suspects.tell(opened.link());
            report(true);
        } else if (event instanceof SideEvent.LinkClosed closed) {
            peers.closed(closed.link());
            desk.linkClosed(closed.link());
        } else if (event instanceof SideEvent.OrderEnded ended) {
            memoryMetrics.ended(ended.order(), ended.failure() == null);
            residency.orderEnded(ended.order(), ended.failure());
            loadAskAtNanos = clock.nowNanos();
            report(true);
        } else if (event instanceof SideEvent.LoadReported reported) {
            loadReported(reported.load(), reported.askedAtNanos());
        } else if (event instanceof SideEvent.FenceGranted granted) {
            residency.fenceGranted(granted.fence());
        } else if (event instanceof SideEvent.Tick) {
            tick();
        } else if (event instanceof SideEvent.DrainBegun) {
            desk.drain();
            peers.leaving();
            report(true);
        }
    }

    private void frame(Link link, Frame frame) {
        if (frame instanceof WorkFrame work) {
            desk.take(work, link);
        } else if (frame instanceof CancelFrame cancel) {
            desk.cancel(cancel.id(), cancel.attempt());
        } else if (frame instanceof StrikeFrame strike) {
            suspects.told(strike);
        } else if (frame instanceof HelloFrame hello) {
            desk.entryStarted(hello.name(), hello.incarnation());
        } else if (peers.take(link, frame)) {
            logAdvanced();
        } else if (frame instanceof PlanFrame plan) {
            residency.adopt(JsonCodec.read(plan.plan(), Plan.class));
            report(true);
        }
    }

    private void logAdvanced() {
        if (state().sequence() > appliedSequence) {
            appliedSequence = state().sequence();
            residency.stateAdvanced(state());
            peers.advanced();
            report(true);
        }
    }

    private DesiredState state() {
        return replica.state();
    }

    private boolean isEngine() {
        return state().isEngine(identity.service());
    }

    private boolean isReady(Work work) {
        return work.frame().model().isEmpty() || residency.isReady(work);
    }

    private void loadReported(JsonNode load, long askedAtNanos) {
        loadAsked.set(false);
        missedLoads = load == null ? missedLoads + 1 : 0;
        backendAnswers =
                load != null || backendAnswers && missedLoads < LOADS_MISSED_TO_LEAVE && !suspects.isUncertain();
        if (load == null && suspects.isUncertain()) {
            desk.engineAway();
            report(true);
        }
        if (load != null && (isEngine() || load.path("memory_mb").asLong() > 0)) {
            suspects.loadReported(load);
            residency.engineReported(load, askedAtNanos);
            memoryMetrics.show(residency.ledger());
            desk.slotsReported(load.path("slots").asInt(Integer.MAX_VALUE));
        }
    }

    private void tick() {
        gate.takeOverflow(this::handle);
        peers.tick();
        desk.expire();
        if (isEngine()) {
            residency.converge();
        }
        claims.tick();
        workStatus = new WorkStatus(
                desk.queued(), desk.queuedBytes(), desk.running(), desk.slots(), suspects.size(), claims.waiting());
        idle = desk.isDraining() && desk.isIdle();
        boolean askDue = suspects.isUncertain() || clock.isPast(loadAskAtNanos);
        if (askDue && loadAsked.compareAndSet(false, true)) {
            loadAskAtNanos = clock.deadlineNanos(LOAD_PERIOD_MILLIS);
            suspects.loadAsked();
            backend.askLoad();
        }
        peers.closeSilent(clock);
        report(false);
    }

    /** Tells the entries what has changed, as soon as that is due. */
    private void report(boolean always) {
        SideReportFrame report = new SideReportFrame(
                state().sequence(),
                residency.plan().fence(),
                residency.plan().sequence(),
                residency.ledger().sizeMb(),
                residency.ledger().committedMb(),
                residency.ledger().modelsMb(),
                desk.queued(),
                desk.running(),
                residency.readyModels(),
                residency.otherModels(),
                residency.readyAdapters(),
                residency.demand(),
                desk.isDraining() || !backendAnswers);
        present.set(report);
        reports.due(report, always).ifPresent(peers::broadcast);
    }

    /**
     * Tells whether the side can serve.
     *
     * @return whether its backend server answers and its ticket log is not empty
     */
    public boolean isReady() {
        return backendAnswers && state().sequence() > 0;
    }

    /**
     * Writes the side's state for people.
     *
     * @return the state in JSON
     */
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
        dump.put("report", present.get());
        dump.put("work", workStatus);
        dump.put("ring", Map.of("depth", duty.depth(), "capacity", duty.capacity()));
        return JsonCodec.write(dump);
    }

    /** Offers what happens on links to the duty. */
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
