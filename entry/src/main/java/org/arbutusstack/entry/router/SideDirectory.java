package org.arbutusstack.entry.router;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registry of the sides in the host list. Keeps a link open to each and reconnects lost ones. Not thread-safe: confined
 * to the router's event loop.
 */
final class SideDirectory {

    private static final Logger logger = LoggerFactory.getLogger(SideDirectory.class);

    private static final long RECONNECT_MILLIS = 200;

    private final EntryIdentity identity;

    private final LinkTransport transport;

    private final Clock clock;

    private final RouterLimits limits;

    private final RouterMetrics metrics;

    private final Predicate<RouterEvent> events;

    private final Map<String, SideConnection> sides = new HashMap<>();

    SideDirectory(
            EntryIdentity identity,
            LinkTransport transport,
            Clock clock,
            RouterLimits limits,
            RouterMetrics metrics,
            Predicate<RouterEvent> events) {
        this.identity = identity;
        this.transport = transport;
        this.clock = clock;
        this.limits = limits;
        this.metrics = metrics;
        this.events = events;
    }

    void hostsChanged(HostList hosts) {
        Set<String> listed = new HashSet<>();
        for (Host host : hosts.hosts()) {
            if (host.role() == HostRole.SIDE) {
                listed.add(host.name());
                sides.computeIfAbsent(host.name(), name -> new SideConnection(host, clock.nowNanos()))
                        .host(host);
            }
        }
        sides.values().forEach(side -> side.listed(listed.contains(side.host().name())));
        dropUnlisted();
        connectMissing();
    }

    /** Remove the hosts that are no longer listed, once none of their requests is outstanding. */
    void dropUnlisted() {
        List<SideConnection> removed = new ArrayList<>(sides.values());
        removed.removeIf(side -> side.isListed() || side.outstanding() > 0);
        for (SideConnection side : removed) {
            sides.remove(side.host().name());
            if (side.link() != null) {
                side.link().close();
            }
        }
    }

    void connectMissing() {
        IsolatedSteps.forEach("side-links", sides.values(), side -> {
            if (side.link() == null && side.isListed() && clock.isPast(side.reconnectAtNanos())) {
                Host host = side.host();
                InetSocketAddress address = new InetSocketAddress(host.address(), host.linkPort());
                side.connecting(transport.connect(address, new SideListener(host)));
            }
        });
    }

    /** Update the load estimates of the runners for the time elapsed. */
    void updateLoads() {
        sides.values().forEach(side -> side.load().tick(clock.nowNanos()));
    }

    /** Give up links on which nothing has been received for the maximum silence. */
    void closeUnresponsive() {
        for (SideConnection side : sides.values()) {
            boolean unresponsive = side.link() != null
                    && clock.isPast(
                            side.link().lastReceivedAtNanos() + limits.maxSilenceMillis() * Clock.NANOS_PER_MILLI);
            if (unresponsive) {
                giveUp(side, "silent");
            }
        }
    }

    /** Close a link that is no longer usable; its requests are treated as lost once the link is closed. */
    void giveUp(SideConnection side, String cause) {
        if (side.isGivenUp()) {
            return;
        }
        side.giveUp();
        metrics.linkClosed(cause);
        logger.warn("event=link-given-up runner={} cause={}", side.host().name(), cause);
        side.link().close();
    }

    /** Return the sides whose link is closed although the close event was dropped by a full ring. */
    List<SideConnection> closedWithoutEvent() {
        return sides.values().stream()
                .filter(side -> side.link() != null && !side.link().isOpen())
                .toList();
    }

    /** Return the side of a link, or {@code null} if the link is not the current one of that side. */
    SideConnection find(Host host, Link link) {
        SideConnection side = sides.get(host.name());
        return side != null && side.link() == link ? side : null;
    }

    SideConnection opened(Host host, Link link) {
        SideConnection side = find(host, link);
        if (side == null) {
            link.close();
            return null;
        }
        side.opened();
        link.send(identity.hello());
        return side;
    }

    /**
     * Process the {@code HelloFrame} of the connected process; the link is closed if that host is not the listed one.
     */
    void helloReceived(SideConnection side, HelloFrame hello) {
        if (hello.name().equals(side.host().name())) {
            side.identified(hello.incarnation());
            return;
        }
        logger.warn(
                "event=host-replaced listed={} found={} incarnation={}",
                side.host().name(),
                hello.name(),
                hello.incarnation());
        giveUp(side, "replaced");
    }

    SideConnection closed(Host host, Link link) {
        SideConnection side = find(host, link);
        if (side != null) {
            side.closed(clock.deadlineNanos(RECONNECT_MILLIS));
        }
        return side;
    }

    SideConnection byName(String name) {
        return sides.get(name);
    }

    Collection<SideConnection> all() {
        return sides.values();
    }

    List<RunnerView> views() {
        return sides.values().stream()
                .filter(SideConnection::takesWork)
                .map(SideConnection::view)
                .toList();
    }

    void broadcast(Frame frame) {
        sides.values().stream().filter(SideConnection::isOpen).forEach(side -> side.link()
                .send(frame));
    }

    /** Listener that forwards the events of a link to the router's event loop. */
    private final class SideListener implements LinkListener {

        private final Host host;

        SideListener(Host host) {
            this.host = host;
        }

        @Override
        public void onOpen(Link link) {
            closeUnless(link, events.test(new RouterEvent.LinkOpened(host, link)));
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            closeUnless(link, events.test(new RouterEvent.FrameArrived(host, link, frame)));
        }

        /** Close a link if one of its events was dropped, so that its requests are retried. */
        private static void closeUnless(Link link, boolean accepted) {
            if (!accepted) {
                link.close();
            }
        }

        @Override
        public void onClosed(Link link) {
            events.test(new RouterEvent.LinkClosed(host, link));
        }
    }
}
