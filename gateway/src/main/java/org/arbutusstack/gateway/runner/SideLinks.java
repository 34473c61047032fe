package org.arbutusstack.gateway.runner;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.arbutusstack.gateway.config.EngineModel;
import org.arbutusstack.gateway.config.EngineSpec;
import org.arbutusstack.gateway.config.ServedService;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.kernel.Assert;
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
 * Keeps a link to the process beside each engine, tells it what the engine may hold, and takes its statuses.
 *
 * <p>Used by the entry's loop only.
 */
public final class SideLinks {

    private static final Logger logger = LoggerFactory.getLogger(SideLinks.class);

    private static final long RECONNECT_MILLIS = 300;

    /** A live host refuses a connection within one round trip; a silent one does not answer at all. */
    private static final long REFUSED_MILLIS = 200;

    /** The pauses that a side announces after which its link is given up. */
    private static final int MOST_PAUSES = 3;

    /** The least time after which a link is given up: that of a connection being opened. */
    private static final long SILENCE_MILLIS = 1_500;

    private final LinkTransport transport;

    private final int port;

    private final RunnerTable runners;

    private final Ring<Runnable> loop;

    private final Clock clock;

    private final Consumer<KnownRunner> statusListener;

    private final Map<String, Side> sidesByHost = new HashMap<>();

    private final EntryCount entryCount;

    private ServingConfig config;

    /**
     * Creates the links; none is opened yet.
     *
     * @param transport opens links
     * @param port where sides accept links, the same on all hosts
     * @param runners the runners
     * @param loop the entry's loop
     * @param clock the clock of the process
     * @param statusListener is told of each runner that a status was taken for
     */
    public SideLinks(
            LinkTransport transport,
            int port,
            RunnerTable runners,
            Ring<Runnable> loop,
            Clock clock,
            Consumer<KnownRunner> statusListener) {
        this.transport = Assert.notNull(transport, "transport");
        this.port = port;
        this.runners = Assert.notNull(runners, "runners");
        this.loop = Assert.notNull(loop, "loop");
        this.clock = Assert.notNull(clock, "clock");
        this.entryCount = new EntryCount(clock);
        this.statusListener = Assert.notNull(statusListener, "statusListener");
    }

    /**
     * Takes a new configuration.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        config = next;
        sidesByHost.values().forEach(side -> side.told = null);
    }

    /**
     * Counts the entries of the fleet.
     *
     * @return the count
     */
    public EntryCount entryCount() {
        return entryCount;
    }

    /** Opens the links that lack, closes silent ones, and tells sides what has changed. */
    public void tick() {
        if (config == null) {
            return;
        }
        Set<String> needed = new HashSet<>();
        for (KnownRunner runner : runners.all()) {
            if (specOf(runner) != null) {
                needed.add(runner.entry().address().address());
            }
        }
        sidesByHost
                .entrySet()
                .removeIf(side ->
                        !needed.contains(side.getKey()) && side.getValue().close());
        for (String host : needed) {
            sidesByHost.computeIfAbsent(host, Side::new).tick();
        }
        for (KnownRunner runner : runners.all()) {
            EngineSpec spec = specOf(runner);
            if (spec != null) {
                sidesByHost.get(runner.entry().address().address()).tell(runner, spec);
            }
        }
    }

    private EngineSpec specOf(KnownRunner runner) {
        return config.service(runner.entry().service())
                .flatMap(ServedService::engine)
                .orElse(null);
    }

    private void status(Side side, Link link, RunnerStatusFrame status) {
        for (KnownRunner runner : runners.all()) {
            if (runner.entry().address().address().equals(side.host)) {
                side.pauseMillis = status.nextWithinMillis();
                entryCount.report(status.entries());
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

    /** Keeps the link to one host's side. */
    private final class Side implements LinkListener {

        private final String host;

        private Link link;

        private boolean open;

        private long reconnectAtNanos;

        /** What the side was told last: the configuration, and the runner's entry; null for nothing. */
        private RunnerEntry told;

        private long toldVersion;

        private long pauseMillis;

        private long connectedAtNanos;

        Side(String host) {
            this.host = host;
            this.reconnectAtNanos = clock.nowNanos();
        }

        private void tick() {
            long silenceMillis = Math.max(SILENCE_MILLIS, MOST_PAUSES * pauseMillis);
            boolean silent = link != null && clock.isPast(link.heardAtNanos() + silenceMillis * Clock.NANOS_PER_MILLI);
            if (silent) {
                logger.warn("event=side-silent host={}", host);
                Link silentLink = link;
                lost(silentLink);
                forHost(KnownRunner::sideTimedOut);
                silentLink.close();
            }
            if (link == null && clock.isPast(reconnectAtNanos)) {
                connectedAtNanos = clock.nowNanos();
                link = transport.connect(new InetSocketAddress(host, port), this);
            }
        }

        private void tell(KnownRunner runner, EngineSpec spec) {
            RunnerEntry entry = runner.entry();
            boolean known = told != null && toldVersion == config.version() && told.isSameIncarnation(entry);
            if (open && !known && link.send(catalogOf(runner, spec))) {
                told = entry;
                toldVersion = config.version();
            }
        }

        private boolean close() {
            if (link != null) {
                link.close();
            }
            return true;
        }

        private void lost(Link closed) {
            if (link == closed) {
                link = null;
                open = false;
                told = null;
                reconnectAtNanos = clock.deadlineNanos(RECONNECT_MILLIS);
            }
        }

        /** Tells an end that the other host has sent, or its refusal of a connection, from silence. */
        private void closed(Link closed) {
            boolean wasOpen = open;
            boolean refused = !clock.isPast(connectedAtNanos + REFUSED_MILLIS * Clock.NANOS_PER_MILLI);
            if (link == closed && (wasOpen || refused)) {
                forHost(KnownRunner::sideClosed);
            }
            lost(closed);
        }

        private void forHost(Consumer<KnownRunner> action) {
            runners.all().stream()
                    .filter(runner -> runner.entry().address().address().equals(host))
                    .forEach(action);
        }

        private void opened(Link opened) {
            if (link == opened) {
                open = true;
                told = null;
            }
        }

        @Override
        public void onOpen(Link opened) {
            loop.offer(() -> opened(opened));
        }

        @Override
        public void onFrame(Link from, Frame frame) {
            if (frame instanceof RunnerStatusFrame status && !loop.offer(() -> status(this, from, status))) {
                logger.warn("event=ring-full duty=entry frame={}", frame.type());
            }
        }

        @Override
        public void onClosed(Link closed) {
            loop.offer(() -> closed(closed));
        }
    }
}
