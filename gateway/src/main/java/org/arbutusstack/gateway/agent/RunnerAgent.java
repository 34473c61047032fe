package org.arbutusstack.gateway.agent;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.gateway.quarantine.RunnerCrashes;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.PromptWindow;
import org.arbutusstack.wire.frame.AdapterUseFrame;
import org.arbutusstack.wire.frame.EngineCatalogFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.ModelOrderFrame;
import org.arbutusstack.wire.frame.RequestSentFrame;
import org.arbutusstack.wire.frame.RunnerOutcomeFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.frame.StatusRequestFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that polls the runner on the local host several times a second, publishes its status to the linked entries,
 * and issues orders to it.
 *
 * <p>Requests do not pass through the agent: while it is down, the runner keeps serving what it holds. Runs on a thread
 * of its own; frames arrive on the threads of the links.
 */
public final class RunnerAgent implements Service {

    private static final Logger logger = LoggerFactory.getLogger(RunnerAgent.class);

    private static final int QUEUE_CAPACITY = 1_024;

    /** Poll interval while no order is in progress and no entry requests the status. */
    private static final long IDLE_POLL_MILLIS = 250;

    /** Poll interval while entries request the status; requests sent in between are added to the last status. */
    private static final long REQUESTED_POLL_MILLIS = 100;

    /** Poll interval while an adapter or a model is being loaded; a fraction of an adapter's load time. */
    private static final long ACTIVE_POLL_MILLIS = 12;

    /** Poll interval while it is open whether lost requests were lost by a crash; about the time of one poll. */
    private static final long LOSS_POLL_MILLIS = 50;

    /** How long an entry that named an adapter receives adapter changes at once; covers the wait of its requests. */
    private static final long ADAPTER_INTEREST_MILLIS = 2_000;

    private final ManagedRunner runner;

    private final LinkTransport transport;

    private final InetSocketAddress address;

    private final Clock clock;

    private final OrderIssuer issuer;

    private final BlockingQueue<Frame> frames = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

    private final Set<Link> links = new CopyOnWriteArraySet<>();

    private final Map<Link, Long> adapterUsersUntilNanos = new ConcurrentHashMap<>();

    /** Number of requests that entries have sent to the runner since the last poll. */
    private final AtomicInteger sentSincePoll = new AtomicInteger();

    private final PromptWindow prompts;

    /** Whether an entry has requested the status since the last poll. */
    private volatile boolean statusRequested;

    private final StatusSchedule schedule;

    private final SharedHealth health;

    private final RunnerCrashes crashes;

    private final Thread thread;

    private final EntryRequests requests;

    private final AgentMetrics metrics;

    private volatile boolean running;

    private volatile boolean unresponsive;

    private volatile RunnerStatusFrame lastStatus;

    /**
     * Create the agent; it starts with {@link #start()}.
     *
     * @param runner the client of the runner on the local host
     * @param transport accepts the links of entries
     * @param address the address on which links are accepted
     * @param clock the clock of the process
     * @param registry the registry of the process's metrics
     */
    public RunnerAgent(
            ManagedRunner runner,
            LinkTransport transport,
            InetSocketAddress address,
            Clock clock,
            PrometheusRegistry registry) {
        this.runner = Assert.notNull(runner, "runner");
        this.transport = Assert.notNull(transport, "transport");
        this.address = Assert.notNull(address, "address");
        this.clock = Assert.notNull(clock, "clock");
        this.issuer = new OrderIssuer(clock);
        this.schedule = new StatusSchedule(clock);
        this.health = new SharedHealth(clock);
        this.crashes = new RunnerCrashes(address.getHostString(), clock);
        this.prompts = new PromptWindow(clock);
        this.metrics = new AgentMetrics(registry);
        this.requests = new EntryRequests(metrics, clock);
        this.thread = new Thread(this::run, "attendant");
        this.thread.setDaemon(true);
    }

    @Override
    public String name() {
        return "attendant";
    }

    @Override
    public void start() {
        running = true;
        transport.listen(address, new EntryListener());
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        transport.stop();
    }

    /**
     * Return whether the runner answered the last poll.
     *
     * @return whether it has been polled and answered
     */
    public boolean isRunnerAnswering() {
        return !unresponsive && lastStatus != null;
    }

    /**
     * Return the number of entries linked to the agent.
     *
     * @return the number of open links
     */
    public int linkCount() {
        return links.size();
    }

    /**
     * Return the latest status of the runner.
     *
     * @return the status, marked as accepting no requests while the runner does not answer; null if it has never
     *     answered
     */
    public RunnerStatusFrame lastStatus() {
        return lastStatus;
    }

    /**
     * Describe the pools of teams' allotments for the state dump of the process.
     *
     * @return one line for each team
     */
    public List<String> describeAllotments() {
        return requests.describe();
    }

    private void run() {
        while (running) {
            try {
                handleFrames(pollMillis());
                pollRunner();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException failure) {
                logger.error("event=duty-failure duty=attendant", failure);
            }
        }
    }

    private long pollMillis() {
        if (crashes.hasUnexplainedLoss()) {
            return LOSS_POLL_MILLIS;
        }
        if (issuer.isActive()) {
            return ACTIVE_POLL_MILLIS;
        }
        return statusRequested ? REQUESTED_POLL_MILLIS : IDLE_POLL_MILLIS;
    }

    private void handleFrames(long waitMillis) throws InterruptedException {
        Frame frame = frames.poll(waitMillis, TimeUnit.MILLISECONDS);
        while (frame != null) {
            handle(frame);
            frame = frames.poll();
        }
    }

    private void handle(Frame frame) {
        if (frame instanceof AdapterUseFrame use) {
            issuer.recordAdapterUse(use.model(), use.adapter());
        } else if (frame instanceof ModelOrderFrame order) {
            logger.info(
                    "event=model-ordered load={} unload={} fence={} sequence={}",
                    order.load(),
                    order.unload(),
                    order.fence(),
                    order.sequence());
            issuer.acceptModelOrder(order);
        } else if (frame instanceof EngineCatalogFrame catalog) {
            issuer.catalog(catalog);
        } else if (frame instanceof LostRequestFrame lost) {
            sendToEntries(crashes.lost(lost));
        } else if (frame instanceof StrikeFrame strike) {
            sendToEntries(crashes.received(strike));
        }
    }

    /** Poll the runner, issue orders as long as they are accepted, and publish each status. */
    private void pollRunner() {
        Optional<RunnerState> state = read();
        boolean accepted = state.isPresent();
        while (accepted) {
            Optional<RunnerOrder> order = issuer.next(state.get());
            publish(state.get());
            accepted = order.isPresent() && issue(order.get(), state.get());
            if (accepted) {
                state = read();
                accepted = state.isPresent();
            }
        }
    }

    private Optional<RunnerState> read() {
        long polledAtNanos = clock.nowNanos();
        RunnerReport report = runner.read();
        sendToEntries(report.explainLosses(crashes, polledAtNanos));
        Optional<RunnerState> state = report.state();
        if (state.isEmpty() != unresponsive) {
            unresponsive = state.isEmpty();
            logger.info(unresponsive ? "event=runner-silent" : "event=runner-answers");
            if (unresponsive && lastStatus != null) {
                lastStatus = lastStatus.asUnavailable();
                links.forEach(link -> link.send(lastStatus));
            }
        }
        return state;
    }

    private void sendToEntries(List<StrikeFrame> frames) {
        for (StrikeFrame frame : frames) {
            links.forEach(link -> link.send(frame));
        }
    }

    private boolean issue(RunnerOrder order, RunnerState state) {
        OrderOutcome outcome = runner.order(order);
        issuer.recordOutcome(order, outcome, state);
        metrics.countOrder(outcome);
        logger.info(
                "event=order load={} model={} adapter={} expected={} outcome={}",
                order.load(),
                order.model(),
                order.adapter(),
                order.expectedSequence(),
                outcome);
        return outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.HOLDS;
    }

    private void publish(RunnerState state) {
        if (lastStatus != null && lastStatus.startedAtMillis() != state.startedAtMillis()) {
            health.clearSuspicion();
            metrics.countRestart();
            logger.info(
                    "event=runner-restarted started_at={} previous={}",
                    state.startedAtMillis(),
                    lastStatus.startedAtMillis());
        }
        RunnerStatusFrame status = StatusFrames.of(state, issuer, health.isSuspect(), links.size(), prompts.tokens());
        lastStatus = status;
        sentSincePoll.set(0);
        statusRequested = false;
        switch (schedule.selectAudience(status)) {
            case ALL -> links.forEach(link -> link.send(status));
            case ADAPTER_USERS -> {
                adapterUsersUntilNanos.values().removeIf(clock::isPast);
                adapterUsersUntilNanos.keySet().forEach(link -> link.send(status));
            }
            default -> {
                // Entries that need the current load request the status.
            }
        }
    }

    private void recordOutcome(RunnerOutcomeFrame outcome) {
        RunnerStatusFrame status = lastStatus;
        if (status == null || status.startedAtMillis() != outcome.startedAtMillis()) {
            return;
        }
        boolean wasSuspected = health.isSuspect();
        health.recordOutcome(outcome.failed());
        if (health.isSuspect() != wasSuspected) {
            logger.info("event=runner-doubt in_doubt={} started_at={}", !wasSuspected, outcome.startedAtMillis());
        }
    }

    private void recordSent(RequestSentFrame request) {
        RunnerStatusFrame status = lastStatus;
        if (status != null && status.startedAtMillis() == request.startedAtMillis()) {
            sentSincePoll.incrementAndGet();
            prompts.add(request.promptTokens());
        }
    }

    /**
     * Reply on the link's thread: the reply is the host's liveness signal and must not wait for a call to the runner.
     */
    private void answerStatusRequest(Link link) {
        RunnerStatusFrame status = lastStatus;
        statusRequested = true;
        if (status != null) {
            link.send(status.withInFlight(sentSincePoll.get(), prompts.tokens(), health.isSuspectForNextRequest()));
        }
    }

    /**
     * Listener that handles status requests and reports at once, and queues all other frames for the agent's thread.
     */
    private final class EntryListener implements LinkListener {

        @Override
        public void onOpen(Link link) {
            links.add(link);
            crashes.remembered().forEach(link::send);
            RunnerStatusFrame status = lastStatus;
            if (status != null) {
                link.send(status);
            }
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            if (frame instanceof StatusRequestFrame) {
                answerStatusRequest(link);
                return;
            }
            if (requests.answer(link, frame, links)) {
                return;
            }
            if (frame instanceof RequestSentFrame request) {
                recordSent(request);
                return;
            }
            if (frame instanceof RunnerOutcomeFrame outcome) {
                recordOutcome(outcome);
                return;
            }
            if (frame instanceof AdapterUseFrame) {
                adapterUsersUntilNanos.put(link, clock.deadlineNanos(ADAPTER_INTEREST_MILLIS));
            }
            if (!frames.offer(frame)) {
                logger.warn("event=ring-full duty=attendant frame={}", frame.type());
            }
        }

        @Override
        public void onClosed(Link link) {
            links.remove(link);
            adapterUsersUntilNanos.remove(link);
        }
    }
}
