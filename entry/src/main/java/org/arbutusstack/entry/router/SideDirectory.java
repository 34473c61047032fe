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

/** Keeps a link to every side of the host list, opening lost ones again. Used by the router's duty only. */
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

    /** Forgets the hosts that the list names no more, once their work in progress has ended. */
    void dropUnlisted() {
        List<SideConnection> gone = new ArrayList<>(sides.values());
        gone.removeIf(side -> side.isListed() || side.outstanding() > 0);
        for (SideConnection side : gone) {
            sides.remove(side.host().name());
            if (side.link() != null) {
                side.link().close();
            }
        }
    }

    void connectMissing() {
        for (SideConnection side : sides.values()) {
            if (side.link() == null && side.isListed() && clock.isPast(side.reconnectAtNanos())) {
                Host host = side.host();
                InetSocketAddress address = new InetSocketAddress(host.address(), host.linkPort());
                side.connecting(transport.connect(address, new SideListener(host)));
            }
        }
    }

    /** Lets the loads of the runners learn from the time that has passed. */
    void learn() {
        sides.values().forEach(side -> side.load().tick(clock.nowNanos()));
    }

    /** Gives up links on which several heartbeats of the side are missing. */
    void closeSilent() {
        for (SideConnection side : sides.values()) {
            boolean silent = side.link() != null
                    && clock.isPast(side.link().lastReceivedAtNanos() + limits.silenceMillis() * Clock.NANOS_PER_MILLI);
            if (silent) {
                giveUp(side, "silent");
            }
        }
    }

    /** Closes a link that is of no more use; its requests are lost as soon as it is closed. */
    void giveUp(SideConnection side, String cause) {
        if (side.isGivenUp()) {
            return;
        }
        side.giveUp();
        metrics.linkClosed(cause);
        logger.warn("event=link-given-up runner={} cause={}", side.host().name(), cause);
        side.link().close();
    }

    /** Lists the sides whose link is closed though the event that says so found no room. */
    List<SideConnection> closedUnheard() {
        return sides.values().stream()
                .filter(side -> side.link() != null && !side.link().isOpen())
                .toList();
    }

    /** Finds the side of a link, or returns null if the link is not its present one. */
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

    /** Takes the introduction of the process at the other end; a link to another host than the one listed is closed. */
    void introduced(SideConnection side, HelloFrame hello) {
        if (hello.name().equals(side.host().name())) {
            side.introduced(hello.incarnation());
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

    /** Offers what happens on a link to the router's duty. */
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

        /** Gives up a link of which something was dropped, so that its requests are tried again. */
        private static void closeUnless(Link link, boolean taken) {
            if (!taken) {
                link.close();
            }
        }

        @Override
        public void onClosed(Link link) {
            events.test(new RouterEvent.LinkClosed(host, link));
        }
    }
}
