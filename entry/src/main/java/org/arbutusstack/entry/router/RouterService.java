package org.arbutusstack.entry.router;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.entry.member.AcknowledgementTracker;
import org.arbutusstack.entry.member.RunnerAcknowledgement;
import org.arbutusstack.entry.plan.PlanRegistry;
import org.arbutusstack.entry.plan.RunnerDirectory;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.peer.LogExchange;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.plan.Plan;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.placement.RunnerCapacity;
import org.arbutusstack.routing.RunnerSelector;
import org.arbutusstack.wire.frame.AnswerHeadFrame;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.frame.LoadFrame;
import org.arbutusstack.wire.frame.PlanFrame;
import org.arbutusstack.wire.frame.ReceiptFrame;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.SideReportFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that routes requests: one event loop owns the links to the sides and the requests in flight.
 *
 * <p>{@link #submit}, {@link #callerDisconnected}, {@link #hostsChanged}, {@link #runners}, {@link #listedRunners} and
 * {@link #stateDump} may be called by any thread.
 */
public final class RouterService implements Service, RunnerDirectory {

    /** Name under which the service is registered. */
    public static final String NAME = "router";

    private static final Logger logger = LoggerFactory.getLogger(RouterService.class);

    private static final int RING_SIZE = 16_384;

    private static final long TICK_MILLIS = 20;

    private static final long PLAN_RESEND_MILLIS = 500;

    private static final long DRAIN_POLL_MILLIS = 20;

    private final EntryIdentity identity;

    private final LogReplica replica;

    private final PlanRegistry plans;

    private final Clock clock;

    private final RouterLimits limits;

    private final RouterMetrics metrics;

    private final AtomicReference<HostList> changedHosts = new AtomicReference<>();

    private final EventLoop<RouterEvent> eventLoop = new EventLoop<>("router", RING_SIZE, this::handle);

    private final Ticker ticker = new Ticker("router-ticker");

    private final LogExchange exchange;

    private final AcknowledgementTracker acknowledgements = new AcknowledgementTracker();

    private final SideDirectory sides;

    private final RequestTable requests;

    private volatile List<RunnerStatus> statuses = List.of();

    private volatile int inFlight;

    private volatile boolean draining;

    private long resendPlansAtNanos;

    /**
     * Create a new {@code RouterService}.
     *
     * @param identity the identity of this entry
     * @param transport the transport that opens links to the sides
     * @param replica the local replica of the ticket log
     * @param plans the plans to send to the sides
     * @param selector the routing policy
     * @param clock the process clock
     * @param limits the limits of the router
     * @param metrics the metrics of requests and links
     * @param trail the audit trail that records the outcome of each request
     */
    public RouterService(
            EntryIdentity identity,
            LinkTransport transport,
            LogReplica replica,
            PlanRegistry plans,
            RunnerSelector selector,
            Clock clock,
            RouterLimits limits,
            RouterMetrics metrics,
            AuditTrail trail) {
        this.identity = Assert.notNull(identity, "identity");
        this.replica = Assert.notNull(replica, "replica");
        this.plans = Assert.notNull(plans, "plans");
        this.clock = Assert.notNull(clock, "clock");
        this.limits = Assert.notNull(limits, "limits");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.exchange = new LogExchange(replica, clock, limits.heartbeatMillis());
        this.sides = new SideDirectory(identity, transport, clock, limits, metrics, this::offer);
        RequestOutcomeRecorder outcomes =
                new RequestOutcomeRecorder(metrics, trail, () -> replica.state().sequence(), clock);
        this.requests = new RequestTable(sides, selector, clock, limits, metrics, outcomes);
        replica.addListener(state -> offer(new RouterEvent.StateAdvanced()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        eventLoop.start();
        ticker.every(TICK_MILLIS, () -> eventLoop.offer(new RouterEvent.Tick()));
    }

    /**
     * Offer an event to the event loop. An event rejected by a full ring is recovered otherwise: a link whose frame was
     * dropped is closed, and the next tick checks for closed links, disconnected callers and the latest host list.
     */
    private boolean offer(RouterEvent event) {
        boolean accepted = eventLoop.offer(event);
        if (!accepted) {
            metrics.ringFull(event.getClass().getSimpleName());
            logger.warn("event=router-ring-full dropped={}", event.getClass().getSimpleName());
        }
        return accepted;
    }

    /**
     * Submit a request.
     *
     * @param request the request to route
     * @return {@code false} if the router cannot accept the request, which then does not run
     */
    public boolean submit(CallerRequest request) {
        return !draining && eventLoop.offer(new RouterEvent.Arrived(request));
    }

    /**
     * Notify the router that a caller closed its connection.
     *
     * @param id the id of the caller's request
     */
    public void callerDisconnected(RequestId id) {
        offer(new RouterEvent.CallerGone(id));
    }

    /**
     * Notify the router that the host list has changed.
     *
     * @param hosts the new host list
     */
    public void hostsChanged(HostList hosts) {
        changedHosts.set(hosts);
        offer(new RouterEvent.HostsChanged());
    }

    @Override
    public void drain(long deadlineNanos) {
        draining = true;
        clock.pause(2 * TICK_MILLIS);
        while (inFlight > 0 && !clock.isPast(deadlineNanos)) {
            clock.pause(DRAIN_POLL_MILLIS);
        }
    }

    @Override
    public void stop() {
        ticker.stop();
        eventLoop.stop();
    }

    private void handle(RouterEvent event) {
        if (event instanceof RouterEvent.Arrived arrived) {
            requests.accept(arrived.request());
        } else if (event instanceof RouterEvent.FrameArrived frame) {
            SideConnection side = sides.find(frame.host(), frame.link());
            if (side != null) {
                frameReceived(side, frame.frame());
            }
        } else if (event instanceof RouterEvent.CallerGone disconnected) {
            requests.callerDisconnected(disconnected.id());
        } else if (event instanceof RouterEvent.LinkOpened opened) {
            if (sides.opened(opened.host(), opened.link()) != null) {
                exchange.linkOpened(opened.link());
            }
        } else if (event instanceof RouterEvent.LinkClosed closed) {
            linkClosed(closed.host(), closed.link());
        } else if (event instanceof RouterEvent.HostsChanged) {
            applyHosts();
        } else if (event instanceof RouterEvent.StateAdvanced) {
            exchange.notifyLaggingPeers();
        } else if (event instanceof RouterEvent.Tick) {
            tick();
        }
        inFlight = requests.size();
    }

    private void linkClosed(Host host, Link link) {
        exchange.linkClosed(link);
        SideConnection side = sides.closed(host, link);
        if (side != null) {
            requests.sideDisconnected(side);
        }
    }

    private void applyHosts() {
        HostList hosts = changedHosts.getAndSet(null);
        if (hosts != null) {
            sides.hostsChanged(hosts);
        }
    }

    private void frameReceived(SideConnection side, Frame frame) {
        if (frame instanceof AnswerPartFrame part) {
            requests.partReceived(part, side);
        } else if (frame instanceof AnswerHeadFrame head) {
            requests.headReceived(head, side);
        } else if (frame instanceof ReceiptFrame receipt) {
            requests.receiptReceived(receipt.id(), receipt.attempt(), side);
        } else if (frame instanceof RefusalFrame refusal) {
            requests.refusalReceived(refusal, side);
        } else if (frame instanceof LoadFrame load) {
            side.load(load);
        } else if (frame instanceof StrikeFrame strike) {
            requests.strikeReceived(strike);
        } else if (frame instanceof SideReportFrame report) {
            side.report(report);
            sendPlanIfNewer(side, report);
        } else if (frame instanceof HelloFrame hello) {
            sides.helloReceived(side, hello);
        } else {
            exchange.handleFrame(side.link(), frame);
        }
    }

    private void sendPlanIfNewer(SideConnection side, SideReportFrame report) {
        Plan plan = plans.plan(side.host().service());
        boolean newer = plan.fence() > report.planFence()
                || plan.fence() == report.planFence() && plan.sequence() > report.planSequence();
        if (newer) {
            String runner = side.host().name();
            side.link().send(new PlanFrame(JsonCodec.write(plan.onlyFor(runner))));
        }
    }

    private void tick() {
        IsolatedSteps.runAll(
                NAME,
                this::applyHosts,
                requests::tick,
                sides::updateLoads,
                sides::closeUnresponsive,
                () -> IsolatedSteps.forEach(
                        NAME, sides.closedWithoutEvent(), side -> linkClosed(side.host(), side.link())),
                sides::dropUnlisted,
                sides::connectMissing,
                () -> exchange.setDraining(draining),
                exchange::tick,
                this::observeAcknowledgements,
                this::resendPlans,
                this::updateStatuses);
    }

    private void observeAcknowledgements() {
        acknowledgements.observe(
                sides.all().stream().map(this::acknowledgementOf).toList(), clock.wallMillis());
    }

    private void resendPlans() {
        if (!clock.isPast(resendPlansAtNanos)) {
            return;
        }
        resendPlansAtNanos = clock.deadlineNanos(PLAN_RESEND_MILLIS);
        IsolatedSteps.forEach(NAME, sides.all(), side -> {
            if (side.report() != null) {
                sendPlanIfNewer(side, side.report());
            }
        });
    }

    private void updateStatuses() {
        statuses = sides.all().stream()
                .map(RunnerStatus::of)
                .sorted(Comparator.comparing(RunnerStatus::name))
                .toList();
    }

    private RunnerAcknowledgement acknowledgementOf(SideConnection side) {
        long sequence = exchange.confirmedSequence(side.link());
        return new RunnerAcknowledgement(side.host().name(), side.incarnation(), sequence);
    }

    /**
     * Return the tracker of the log sequences that the runners have acknowledged.
     *
     * @return the acknowledgement tracker
     */
    public AcknowledgementTracker acknowledgements() {
        return acknowledgements;
    }

    @Override
    public List<RunnerCapacity> runners(String service) {
        return statuses.stream()
                .filter(status -> status.service().equals(service) && status.takesWork() && status.memorySizeMb() > 0)
                .map(RunnerStatus::capacity)
                .toList();
    }

    @Override
    public int listedRunners(String service) {
        return (int) statuses.stream()
                .filter(status -> status.service().equals(service))
                .count();
    }

    /**
     * Return the state of this entry for operators.
     *
     * @return the state as JSON
     */
    public byte[] stateDump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("role", "entry");
        dump.put("name", identity.name());
        dump.put("zone", identity.zone());
        dump.put("incarnation", identity.incarnation());
        dump.put("sequence", replica.state().sequence());
        dump.put("chain", replica.state().chain().hex());
        dump.put("requestsInHand", inFlight);
        dump.put("draining", draining);
        dump.put("runners", statuses);
        dump.put(
                "plans",
                plans.plans().values().stream()
                        .sorted(Comparator.comparing(Plan::service))
                        .collect(Collectors.toList()));
        dump.put("ring", Map.of("depth", eventLoop.depth(), "capacity", eventLoop.capacity()));
        return JsonCodec.write(dump);
    }
}
