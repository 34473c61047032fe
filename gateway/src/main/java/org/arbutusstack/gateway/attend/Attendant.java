package org.arbutusstack.gateway.attend;

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
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.gateway.runner.StoredCopy;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AdapterUseFrame;
import org.arbutusstack.wire.frame.EngineCatalogFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.ModelOrderFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
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
public final class Attendant implements Service {

    private static final Logger logger = LoggerFactory.getLogger(Attendant.class);

    private static final int RING_SIZE = 1_024;

    /** Stands for a model that an order of an earlier run of this process loads or unloads. */
    private static final String UNKNOWN_MODEL = "?";

    /** How often the runner is read while nothing is under way. */
    private static final long IDLE_MILLIS = 120;

    /** How often it is read while an adapter or a model is on its way: a fraction of an adapter's load. */
    private static final long ACTIVE_MILLIS = 12;

    /** The longest pause between two statuses though nothing changed, give or take a period. */
    private static final long STATUS_MILLIS = 150;

    private final AttendedRunner runner;

    private final LinkTransport transport;

    private final InetSocketAddress address;

    private final Clock clock;

    private final OrderDesk desk;

    private final BlockingQueue<Frame> ring = new ArrayBlockingQueue<>(RING_SIZE);

    private final Set<Link> links = new CopyOnWriteArraySet<>();

    private final Thread thread;

    private final Counter orders;

    private volatile boolean running;

    private volatile boolean silent;

    private volatile RunnerStatusFrame lastStatus;

    private long statusDueNanos;

    /**
     * Creates the service.
     *
     * @param runner speaks to the runner
     * @param transport opens and accepts links
     * @param address where entries link to
     * @param clock the clock of the process
     * @param metrics the process's metrics
     */
    public Attendant(
            AttendedRunner runner,
            LinkTransport transport,
            InetSocketAddress address,
            Clock clock,
            PrometheusRegistry metrics) {
        this.runner = Assert.notNull(runner, "runner");
        this.transport = Assert.notNull(transport, "transport");
        this.address = Assert.notNull(address, "address");
        this.clock = Assert.notNull(clock, "clock");
        this.desk = new OrderDesk(clock);
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
                takeFrames(desk.isActive() ? ACTIVE_MILLIS : IDLE_MILLIS);
                step();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException failure) {
                logger.error("event=duty-failure duty=attendant", failure);
            }
        }
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
        Optional<RunnerReading> reading = read();
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

    private Optional<RunnerReading> read() {
        Optional<RunnerReading> reading = runner.read();
        if (reading.isEmpty() != silent) {
            silent = reading.isEmpty();
            logger.info(silent ? "event=runner-silent" : "event=runner-answers");
        }
        return reading;
    }

    private boolean give(RunnerOrder order, RunnerReading reading) {
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

    private void tell(RunnerReading reading) {
        RunnerStatusFrame status = statusOf(reading);
        if (status.equals(lastStatus) && !clock.isPast(statusDueNanos)) {
            return;
        }
        lastStatus = status;
        statusDueNanos = clock.deadlineNanos(STATUS_MILLIS);
        links.forEach(link -> link.send(status));
    }

    private RunnerStatusFrame statusOf(RunnerReading reading) {
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
        reading.onDisk().forEach(model -> storedCopies.put(model, StoredCopy.ON_DISK.rank()));
        reading.inMemory().forEach(model -> storedCopies.put(model, StoredCopy.IN_MAIN_MEMORY.rank()));
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
                reading.busy() && desk.loading().isEmpty() ? UNKNOWN_MODEL : desk.loading());
    }

    /** Hands frames to the attendant's duty. */
    private final class EntryListener implements LinkListener {

        @Override
        public void onOpen(Link link) {
            links.add(link);
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            if (!ring.offer(frame)) {
                logger.warn("event=ring-full duty=attendant frame={}", frame.type());
            }
        }

        @Override
        public void onClosed(Link link) {
            links.remove(link);
        }
    }
}
