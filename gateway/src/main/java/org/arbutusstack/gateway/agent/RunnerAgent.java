package org.arbutusstack.gateway.agent;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.gateway.runner.WeightsLocation;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.PromptWindow;
import org.arbutusstack.wire.frame.AdapterUseFrame;
import org.arbutusstack.wire.frame.EngineCatalogFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.ModelOrderFrame;
import org.arbutusstack.wire.frame.RequestSentFrame;
import org.arbutusstack.wire.frame.RunnerOutcomeFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.frame.StatusRequestFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the runner on the own host several times a second, tells all entries linked to it, and gives the runner's
 * orders.
 *
 * <p>It is not on the way of requests: while it is away, its runner goes on with what it holds. Runs on a duty of its
 * own.
 */
public final class RunnerAgent implements Service {

    private static final Logger logger = LoggerFactory.getLogger(RunnerAgent.class);

    private static final int RING_SIZE = 1_024;

    /** Stands for a model that an order of an earlier run of this process loads or unloads. */
    private static final String UNKNOWN_MODEL = "?";

    /** How often the runner is read while nothing is under way and no entry asks for its status. */
    private static final long IDLE_MILLIS = 250;

    /** How often it is read while entries ask: what they were told counts meanwhile. */
    private static final long ASKED_MILLIS = 100;

    /** How often it is read while an adapter or a model is on its way: a fraction of an adapter's load. */
    private static final long ACTIVE_MILLIS = 12;

    /** How long an entry that named an adapter is told of the runner's adapters at once: while its requests wait. */
    private static final long ADAPTER_INTEREST_MILLIS = 2_000;

    private final ManagedRunner runner;

    private final LinkTransport transport;

    private final InetSocketAddress address;

    private final Clock clock;

    private final OrderIssuer desk;

    private final BlockingQueue<Frame> ring = new ArrayBlockingQueue<>(RING_SIZE);

    private final Set<Link> links = new CopyOnWriteArraySet<>();

    private final Map<Link, Long> adapterUsersUntilNanos = new ConcurrentHashMap<>();

    /** The requests that entries have sent to the runner since it was read. */
    private final AtomicInteger expected = new AtomicInteger();

    private final PromptWindow prompts;

    /** Whether an entry has asked for the status since the runner was read. */
    private volatile boolean asked;

    private final StatusSchedule schedule;

    private final SharedHealth health;

    private final Thread thread;

    private final Counter orders;

    private volatile boolean running;

    private volatile boolean silent;

    private volatile RunnerStatusFrame lastStatus;

    /**
     * Creates the service.
     *
     * @param runner speaks to the runner
     * @param transport opens and accepts links
     * @param address where entries link to
     * @param clock the clock of the process
     * @param metrics the process's metrics
     */
    public RunnerAgent(
            ManagedRunner runner,
            LinkTransport transport,
            InetSocketAddress address,
            Clock clock,
            PrometheusRegistry metrics) {
        this.runner = Assert.notNull(runner, "runner");
        this.transport = Assert.notNull(transport, "transport");
        this.address = Assert.notNull(address, "address");
        this.clock = Assert.notNull(clock, "clock");
        this.desk = new OrderIssuer(clock);
        this.schedule = new StatusSchedule(clock);
        this.health = new SharedHealth(clock);
        this.prompts = new PromptWindow(clock);
        this.orders = Counter.builder()
                .name("arbutus_attendant_orders_total")
                .help("orders given to the runner by outcome")
                .labelNames("outcome")
                .register(metrics);
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
     * Tells whether the runner answered when it was read last.
     *
     * @return whether it did
     */
    public boolean isRunnerAnswering() {
        return !silent && lastStatus != null;
    }

    /**
     * Counts the entries linked.
     *
     * @return their number
     */
    public int linkCount() {
        return links.size();
    }

    /**
     * Tells what the entries were told last.
     *
     * @return the status; null if none was told
     */
    public RunnerStatusFrame lastStatus() {
        return lastStatus;
    }

    private void run() {
        while (running) {
            try {
                takeFrames(pauseMillis());
                step();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException failure) {
                logger.error("event=duty-failure duty=attendant", failure);
            }
        }
    }

    private long pauseMillis() {
        if (desk.isActive()) {
            return ACTIVE_MILLIS;
        }
        return asked ? ASKED_MILLIS : IDLE_MILLIS;
    }

    private void takeFrames(long waitMillis) throws InterruptedException {
        Frame frame = ring.poll(waitMillis, TimeUnit.MILLISECONDS);
        while (frame != null) {
            take(frame);
            frame = ring.poll();
        }
    }

    private void take(Frame frame) {
        if (frame instanceof AdapterUseFrame use) {
            desk.adapterUsed(use.model(), use.adapter());
        } else if (frame instanceof ModelOrderFrame order) {
            logger.info(
                    "event=model-ordered load={} unload={} fence={} sequence={}",
                    order.load(),
                    order.unload(),
                    order.fence(),
                    order.sequence());
            desk.modelOrdered(order);
        } else if (frame instanceof EngineCatalogFrame catalog) {
            desk.catalog(catalog);
        }
    }

    /** Reads the runner, gives it orders as long as they are accepted, and tells the entries. */
    private void step() {
        Optional<RunnerState> reading = read();
        boolean accepted = reading.isPresent();
        while (accepted) {
            Optional<RunnerOrder> order = desk.next(reading.get());
            tell(reading.get());
            accepted = order.isPresent() && give(order.get(), reading.get());
            if (accepted) {
                reading = read();
                accepted = reading.isPresent();
            }
        }
    }

    private Optional<RunnerState> read() {
        Optional<RunnerState> reading = runner.read();
        if (reading.isEmpty() != silent) {
            silent = reading.isEmpty();
            logger.info(silent ? "event=runner-silent" : "event=runner-answers");
            if (silent && lastStatus != null) {
                lastStatus = lastStatus.asUnavailable();
                links.forEach(link -> link.send(lastStatus));
            }
        }
        return reading;
    }

    private boolean give(RunnerOrder order, RunnerState reading) {
        OrderOutcome outcome = runner.order(order);
        desk.ordered(order, outcome, reading);
        orders.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
        logger.info(
                "event=order load={} model={} adapter={} expected={} outcome={}",
                order.load(),
                order.model(),
                order.adapter(),
                order.expectedSequence(),
                outcome);
        return outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.HOLDS;
    }

    private void tell(RunnerState reading) {
        if (lastStatus != null && lastStatus.startedAtMillis() != reading.startedAtMillis()) {
            health.trust();
        }
        RunnerStatusFrame status = statusOf(reading);
        lastStatus = status;
        expected.set(0);
        asked = false;
        switch (schedule.decide(status)) {
            case ALL -> links.forEach(link -> link.send(status));
            case ADAPTER_USERS -> {
                adapterUsersUntilNanos.values().removeIf(clock::isPast);
                adapterUsersUntilNanos.keySet().forEach(link -> link.send(status));
            }
            default -> {
                // Entries that want to know the load ask for it.
            }
        }
    }

    private void observed(RunnerOutcomeFrame outcome) {
        RunnerStatusFrame status = lastStatus;
        if (status == null || status.startedAtMillis() != outcome.startedAtMillis()) {
            return;
        }
        boolean before = health.isInDoubt();
        health.observed(outcome.failed());
        if (health.isInDoubt() != before) {
            logger.info("event=runner-doubt in_doubt={} started_at={}", !before, outcome.startedAtMillis());
        }
    }

    private void sent(RequestSentFrame request) {
        RunnerStatusFrame status = lastStatus;
        if (status != null && status.startedAtMillis() == request.startedAtMillis()) {
            expected.incrementAndGet();
            prompts.add(request.promptTokens());
        }
    }

    /** Answers on the links' thread: it is the host's sign of life, and must not wait for a call to the runner. */
    private void answer(Link link) {
        RunnerStatusFrame status = lastStatus;
        asked = true;
        if (status != null) {
            link.send(status.withInFlight(expected.get(), prompts.tokens(), health.isInDoubtForNext()));
        }
    }

    private RunnerStatusFrame statusOf(RunnerState reading) {
        List<RunnerStatusFrame.HeldModel> models = new ArrayList<>();
        reading.versions().forEach((model, version) -> {
            if (!model.equals(desk.unloading())) {
                models.add(new RunnerStatusFrame.HeldModel(
                        model,
                        version,
                        reading.adaptersOf(model).stream().sorted().toList()));
            }
        });
        models.sort(Comparator.comparing(RunnerStatusFrame.HeldModel::name));
        Map<String, Integer> storedCopies = new HashMap<>();
        reading.onDisk().forEach(model -> storedCopies.put(model, WeightsLocation.ON_DISK.rank()));
        reading.inMemory().forEach(model -> storedCopies.put(model, WeightsLocation.IN_MAIN_MEMORY.rank()));
        return new RunnerStatusFrame(
                reading.startedAtMillis(),
                reading.orderSequence(),
                !reading.leaving(),
                reading.remainingMillis(),
                reading.queued(),
                reading.running(),
                reading.usedTokens(),
                reading.capacityTokens(),
                models,
                reading.pendingAdapters(),
                storedCopies,
                reading.busy() && desk.loading().isEmpty() ? UNKNOWN_MODEL : desk.loading(),
                health.isInDoubt(),
                links.size(),
                StatusSchedule.statusIntervalMillis(links.size()),
                prompts.tokens());
    }

    /** Hands frames to the attendant's duty. */
    private final class EntryListener implements LinkListener {

        @Override
        public void onOpen(Link link) {
            links.add(link);
            RunnerStatusFrame status = lastStatus;
            if (status != null) {
                link.send(status);
            }
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            if (frame instanceof StatusRequestFrame) {
                answer(link);
                return;
            }
            if (frame instanceof RequestSentFrame request) {
                sent(request);
                return;
            }
            if (frame instanceof RunnerOutcomeFrame outcome) {
                observed(outcome);
                return;
            }
            if (frame instanceof AdapterUseFrame) {
                adapterUsersUntilNanos.put(link, clock.deadlineNanos(ADAPTER_INTEREST_MILLIS));
            }
            if (!ring.offer(frame)) {
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
