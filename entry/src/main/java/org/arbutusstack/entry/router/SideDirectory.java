package org.arbutusstack.entry.router;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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

    private static final long SILENCE_MILLIS = 3_000;

    private final EntryIdentity identity;

    private final LinkTransport transport;

    private final Clock clock;

    private final Consumer<RouterEvent> events;

    private final Map<String, SideConnection> sides = new HashMap<>();

    SideDirectory(EntryIdentity identity, LinkTransport transport, Clock clock, Consumer<RouterEvent> events) {
        this.identity = identity;
        this.transport = transport;
        this.clock = clock;
        this.events = events;
    }

    void hostsChanged(HostList hosts) {
        Set<String> listed = new HashSet<>();
        for (Host host : hosts.hosts()) {
            if (host.role() == HostRole.SIDE) {
                listed.add(host.name());
                sides.computeIfAbsent(host.name(), name -> new SideConnection(host))
                        .host(host);
            }
        }
        List<SideConnection> gone = new ArrayList<>(sides.values());
        gone.removeIf(side -> listed.contains(side.host().name()));
        for (SideConnection side : gone) {
            sides.remove(side.host().name());
            if (side.link() != null) {
                side.link().close();
            }
        }
        connectMissing();
    }

    void connectMissing() {
        for (SideConnection side : sides.values()) {
            if (side.link() == null && clock.isPast(side.reconnectAtNanos())) {
                Host host = side.host();
                InetSocketAddress address = new InetSocketAddress(host.address(), host.linkPort());
                side.connecting(transport.connect(address, new SideListener(host)));
            }
        }
    }

    void closeSilent() {
        for (SideConnection side : sides.values()) {
            boolean silent = side.link() != null
                    && clock.isPast(side.link().heardAtNanos() + SILENCE_MILLIS * Clock.NANOS_PER_MILLI);
            if (silent) {
                logger.warn("event=link-silent runner={}", side.host().name());
                side.link().close();
            }
        }
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
        side.link().close();
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
            events.accept(new RouterEvent.LinkOpened(host, link));
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            events.accept(new RouterEvent.FrameArrived(host, link, frame));
        }

        @Override
        public void onClosed(Link link) {
            events.accept(new RouterEvent.LinkClosed(host, link));
        }
    }
}
