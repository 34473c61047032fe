package org.arbutusstack.gateway.runner;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.arbutusstack.gateway.allotment.AllotmentShare;
import org.arbutusstack.gateway.allotment.KeeperLinks;
import org.arbutusstack.gateway.config.EngineModel;
import org.arbutusstack.gateway.config.EngineSpec;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.EngineCatalogFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links to the side of each engine: opens one, sends it the catalog of models that the engine may hold, and receives
 * its statuses.
 *
 * <p>Confined to the entry's event loop.
 */
public final class SideLinks implements KeeperLinks {

    private static final String DUTY = "links";

    private static final Logger logger = LoggerFactory.getLogger(SideLinks.class);

    private static final long RECONNECT_MILLIS = 300;

    /** Time within which a live host refuses a connection; an unresponsive one does not answer at all. */
    private static final long REFUSAL_MILLIS = 200;

    /** Announced status intervals without any frame after which a link is closed. */
    private static final int MAX_MISSED_INTERVALS = 3;

    /** Sides that pass on one frame, so that it arrives although one of them has just been lost. */
    private static final int RELAYS = 2;

    /** Minimum time without any frame after which a link is closed; allows for opening a connection. */
    private static final long MIN_TIMEOUT_MILLIS = 1_500;

    private final LinkTransport transport;

    private final int port;

    private final RunnerTable runners;

    private final Ring<Runnable> loop;

    private final Clock clock;

    private final Consumer<KnownRunner> statusListener;

    private final BiConsumer<String, Frame> frameListener;

    private final Map<String, Side> sidesByHost = new HashMap<>();

    private final EntryCount entryCount;

    private final EntryCount typicalEntryCount;

    private ServingConfig config;

    /**
     * Create the manager of links; none is opened until the first {@link #tick()}.
     *
     * @param transport opens the links
     * @param port the port on which sides accept links, the same on all hosts
     * @param runners the runners whose sides are linked
     * @param loop the entry's event loop
     * @param clock the clock of the process
     * @param statusListener notified with each runner to which a status was applied
     * @param frameListener notified with the address of a side's host and each other frame of the side
     */
    public SideLinks(
            LinkTransport transport,
            int port,
            RunnerTable runners,
            Ring<Runnable> loop,
            Clock clock,
            Consumer<KnownRunner> statusListener,
            BiConsumer<String, Frame> frameListener) {
        this.transport = Assert.notNull(transport, "transport");
        this.port = port;
        this.runners = Assert.notNull(runners, "runners");
        this.loop = Assert.notNull(loop, "loop");
        this.clock = Assert.notNull(clock, "clock");
        this.entryCount = new EntryCount(clock);
        this.typicalEntryCount = new EntryCount(clock);
        this.statusListener = Assert.notNull(statusListener, "statusListener");
        this.frameListener = Assert.notNull(frameListener, "frameListener");
    }

    /**
     * Apply a new configuration; the catalogs are sent again.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        config = next;
        sidesByHost.values().forEach(side -> side.catalogEntry = null);
    }

    /**
     * Return the estimate of the number of entries in the fleet.
     *
     * @return the estimate, fed by the statuses received
     */
    public EntryCount entryCount() {
        return entryCount;
    }

    @Override
    public Optional<String> firstInRank(String key, Predicate<String> usable) {
        return sidesByHost.values().stream()
                .filter(side -> side.open && usable.test(side.host))
                .min(Comparator.comparingLong(side -> rank(key, side)))
                .map(side -> side.host);
    }

    @Override
    public boolean isOpen(String host) {
        Side side = sidesByHost.get(host);
        return side != null && side.open;
    }

    /**
     * Return to how many of the sides there are links.
     *
     * @return the part of the sides of all runners in the directory, from 0 to 1; 1 if there is none
     */
    public double linkedPart() {
        double open = sidesByHost.values().stream().filter(side -> side.open).count();
        return sidesByHost.isEmpty() ? 1 : open / sidesByHost.size();
    }

    @Override
    public boolean send(String host, Frame frame) {
        Side side = sidesByHost.get(host);
        if (side != null && side.open) {
            side.link.send(frame);
        }
        return side != null;
    }

    /**
     * Return the estimate of the number of entries from what most sides report.
     *
     * @return the estimate, which a few sides that count too many do not change
     */
    public EntryCount typicalEntryCount() {
        return typicalEntryCount;
    }

    /**
     * Send a frame to the side that keeps account of a runner for all entries: the one on its host or, for a runner
     * without a side, the one that all entries choose by its identifier.
     *
     * @param runner the runner
     * @param frame the frame
     * @return whether the frame was handed to the link
     */
    public boolean sendToAccountant(RunnerEntry runner, Frame frame) {
        Side side = sidesByHost.get(runner.address().address());
        if (side == null) {
            side = sidesByHost.values().stream()
                    .min(Comparator.comparingLong(candidate -> rank(runner.id(), candidate)))
                    .orElse(null);
        }
        return side != null && side.open && side.link.send(frame);
    }

    /** Rank a side for a key by rendezvous hashing. */
    private static long rank(String key, Side side) {
        return new SplittableRandom(key.hashCode() * 31L + side.host.hashCode()).nextLong();
    }

    /**
     * Send a frame to the sides that pass frames with a key on to all entries. All entries choose the same ones as long
     * as they are linked to the same sides.
     *
     * @param key the key
     * @param frame the frame
     */
    public void sendToRelays(String key, Frame frame) {
        sidesByHost.values().stream()
                .filter(side -> side.open)
                .sorted(Comparator.comparingLong(side -> rank(key, side)))
                .limit(RELAYS)
                .forEach(side -> side.link.send(frame));
    }

    /** Open missing links, close unresponsive ones, and send changed catalogs. */
    public void tick() {
        if (config == null) {
            return;
        }
        Set<String> requiredHosts = new HashSet<>();
        for (KnownRunner runner : runners.all()) {
            if (specOf(runner) != null) {
                requiredHosts.add(runner.entry().address().address());
            }
        }
        sidesByHost
                .entrySet()
                .removeIf(side -> !requiredHosts.contains(side.getKey())
                        && side.getValue().close());
        IsolatedSteps.forEach(DUTY, requiredHosts, host -> sidesByHost
                .computeIfAbsent(host, Side::new)
                .tick());
        typicalEntryCount.report(AllotmentShare.typicalOf(sidesByHost.values().stream()
                .filter(side -> side.open && side.reportedEntries > 0)
                .mapToInt(side -> side.reportedEntries)
                .toArray()));
        IsolatedSteps.forEach(DUTY, runners.all(), this::sendCatalog);
    }

    private void sendCatalog(KnownRunner runner) {
        EngineSpec spec = specOf(runner);
        if (spec != null) {
            sidesByHost.get(runner.entry().address().address()).sendCatalog(runner, spec);
        }
    }

    private EngineSpec specOf(KnownRunner runner) {
        return config.service(runner.entry().service())
                .flatMap(ServedService::engine)
                .orElse(null);
    }

    private void handleStatus(Side side, Link link, RunnerStatusFrame status) {
        for (KnownRunner runner : runners.all()) {
            if (runner.entry().address().address().equals(side.host)) {
                side.statusIntervalMillis = status.nextWithinMillis();
                entryCount.report(status.entries());
                side.reportedEntries = status.entries();
                runner.status(status, link);
                statusListener.accept(runner);
            }
        }
    }

    private EngineCatalogFrame catalogOf(KnownRunner runner, EngineSpec spec) {
        Map<String, Integer> modelMb = new TreeMap<>();
        Map<String, Integer> adapterMb = new TreeMap<>();
        for (EngineModel model : spec.models()) {
            modelMb.put(model.name(), (int) Math.ceil(model.weightsMb()));
            adapterMb.put(model.name(), (int) Math.ceil(model.adapterMb()));
        }
        return new EngineCatalogFrame(
                config.version(),
                runner.entry().id(),
                runner.entry().startedAtMillis(),
                (long) spec.weightsMb(),
                spec.adapterSlots(),
                modelMb,
                adapterMb);
    }

    /** Link to the side of one host. */
    private final class Side implements LinkListener {

        private final String host;

        private Link link;

        private boolean open;

        private long reconnectAtNanos;

        /** The runner's entry for which the last catalog was sent; null if none was sent over this link. */
        private RunnerEntry catalogEntry;

        private long catalogVersion;

        private long statusIntervalMillis;

        /** Entries that the side counted in its last status; zero if it has sent none. */
        private int reportedEntries;

        private long connectedAtNanos;

        Side(String host) {
            this.host = host;
            this.reconnectAtNanos = clock.nowNanos();
        }

        private void tick() {
            long timeoutMillis = Math.max(MIN_TIMEOUT_MILLIS, MAX_MISSED_INTERVALS * statusIntervalMillis);
            boolean unresponsive =
                    link != null && clock.isPast(link.lastReceivedAtNanos() + timeoutMillis * Clock.NANOS_PER_MILLI);
            if (unresponsive) {
                logger.warn("event=side-silent host={}", host);
                Link timedOutLink = link;
                detach(timedOutLink);
                forEachRunner(KnownRunner::sideTimedOut);
                timedOutLink.close();
            }
            if (link == null && clock.isPast(reconnectAtNanos)) {
                connectedAtNanos = clock.nowNanos();
                link = transport.connect(new InetSocketAddress(host, port), this);
            }
        }

        private void sendCatalog(KnownRunner runner, EngineSpec spec) {
            RunnerEntry entry = runner.entry();
            boolean current =
                    catalogEntry != null && catalogVersion == config.version() && catalogEntry.isSameIncarnation(entry);
            if (open && !current && link.send(catalogOf(runner, spec))) {
                catalogEntry = entry;
                catalogVersion = config.version();
            }
        }

        private boolean close() {
            if (link != null) {
                link.close();
            }
            return true;
        }

        private void detach(Link closed) {
            if (link == closed) {
                link = null;
                open = false;
                catalogEntry = null;
                reconnectAtNanos = clock.deadlineNanos(RECONNECT_MILLIS);
            }
        }

        /**
         * Handle a closed link; a close or refusal by the other host shows, unlike a timeout, that the host is alive.
         */
        private void handleClosed(Link closed) {
            boolean wasOpen = open;
            boolean refused = !clock.isPast(connectedAtNanos + REFUSAL_MILLIS * Clock.NANOS_PER_MILLI);
            if (link == closed && (wasOpen || refused)) {
                forEachRunner(KnownRunner::sideClosed);
            }
            detach(closed);
        }

        private void forEachRunner(Consumer<KnownRunner> action) {
            runners.all().stream()
                    .filter(runner -> runner.entry().address().address().equals(host))
                    .forEach(action);
        }

        private void handleOpened(Link opened) {
            if (link == opened) {
                open = true;
                catalogEntry = null;
            }
        }

        @Override
        public void onOpen(Link opened) {
            loop.offer(() -> handleOpened(opened));
        }

        @Override
        public void onFrame(Link from, Frame frame) {
            boolean accepted = frame instanceof RunnerStatusFrame status
                    ? loop.offer(() -> handleStatus(this, from, status))
                    : loop.offer(() -> frameListener.accept(host, frame));
            if (!accepted) {
                logger.warn("event=ring-full duty=entry frame={}", frame.type());
            }
        }

        @Override
        public void onClosed(Link closed) {
            loop.offer(() -> handleClosed(closed));
        }
    }
}
