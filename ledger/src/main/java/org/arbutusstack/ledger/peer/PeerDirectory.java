package org.arbutusstack.ledger.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.host.HostStatus;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.frame.HostsFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps an entry's links to other entries, spreads the ticket log over them and tells whether the entry is a relay.
 *
 * <p>An entry dials the relays of its availability zone; a relay also dials those of the other zones. Used by one
 * thread; the events that it passes on come from the transport's thread.
 *
 * @see RelaySelection
 * @see LogExchange
 */
public final class PeerDirectory {

    private static final Logger logger = LoggerFactory.getLogger(PeerDirectory.class);

    private static final long RECONNECT_MILLIS = 200;

    private static final long CONNECT_MILLIS = 1_000;

    private static final long ALIVE_MILLIS = 1_500;

    private static final long SILENCE_MILLIS = 3_000;

    private static final long UNWANTED_MILLIS = 10_000;

    private final HelloFrame self;

    private final LinkTransport transport;

    private final Clock clock;

    private final int relaysPerZone;

    private final Consumer<PeerEvent> events;

    private final LogExchange exchange;

    private final Map<String, DialledPeer> dialled = new HashMap<>();

    private final Map<Link, String> namesByLink = new LinkedHashMap<>();

    private Consumer<HostList> hostsListener = hosts -> {};

    private HostsFrame readHosts;

    private List<Host> entries = List.of();

    private Map<String, List<String>> rankings = Map.of();

    private boolean relay;

    /**
     * Creates a directory.
     *
     * @param self introduces the entry
     * @param transport opens and takes links
     * @param replica this process's copy of the ticket log
     * @param clock the clock of the process
     * @param relaysPerZone the number of relays in each availability zone
     * @param events takes what happens on links, to be given to {@link #handle} by the owning thread
     */
    public PeerDirectory(
            HelloFrame self,
            LinkTransport transport,
            LogReplica replica,
            Clock clock,
            int relaysPerZone,
            Consumer<PeerEvent> events) {
        this.self = Assert.notNull(self, "self");
        this.transport = Assert.notNull(transport, "transport");
        this.clock = Assert.notNull(clock, "clock");
        this.relaysPerZone = relaysPerZone;
        this.events = Assert.notNull(events, "events");
        this.exchange = new LogExchange(replica, clock, LogExchange.HEARTBEAT_MILLIS);
    }

    /**
     * Starts to take links.
     *
     * @param address where to listen
     */
    public void listen(InetSocketAddress address) {
        transport.listen(address, new EventListener(""));
    }

    /**
     * Sets who learns of host lists that relays send.
     *
     * @param listener learns of each list; must not block
     */
    public void setHostsListener(Consumer<HostList> listener) {
        hostsListener = Assert.notNull(listener, "listener");
    }

    /**
     * Sends a host list that this entry has read to the entries behind its links, if it is a relay.
     *
     * @param hosts the list as read
     */
    public void publish(HostList hosts) {
        readHosts = new HostsFrame(JsonCodec.write(hosts));
        if (relay) {
            namesByLink.keySet().forEach(link -> link.send(readHosts));
        }
    }

    /**
     * Takes a changed host list.
     *
     * @param hosts the list
     */
    public void hostsChanged(HostList hosts) {
        entries = hosts.hosts().stream()
                .filter(host -> host.role() == HostRole.ENTRY && host.status() == HostStatus.LIVE)
                .toList();
        rankings = RelaySelection.rank(entries);
        select();
    }

    /**
     * Handles what happened on a link.
     *
     * @param event the event
     */
    public void handle(PeerEvent event) {
        if (event instanceof PeerEvent.LinkOpened opened) {
            opened(opened);
        } else if (event instanceof PeerEvent.LinkClosed closed) {
            closed(closed);
        } else if (event instanceof PeerEvent.FrameArrived arrived) {
            take(arrived.link(), arrived.frame());
        }
    }

    private void opened(PeerEvent.LinkOpened event) {
        DialledPeer peer = dialled.get(event.name());
        if (peer != null && peer.link() == event.link()) {
            peer.opened();
        }
        namesByLink.put(event.link(), "");
        event.link().send(self);
        if (relay && readHosts != null) {
            event.link().send(readHosts);
        }
        exchange.linkOpened(event.link());
    }

    private void closed(PeerEvent.LinkClosed event) {
        DialledPeer peer = dialled.get(event.name());
        if (peer != null && peer.link() == event.link()) {
            peer.closed(clock.deadlineNanos(RECONNECT_MILLIS));
        }
        namesByLink.remove(event.link());
        exchange.linkClosed(event.link());
        select();
    }

    private void take(Link link, Frame frame) {
        if (!namesByLink.containsKey(link)) {
            return;
        }
        if (frame instanceof HelloFrame hello) {
            introduced(link, hello);
            return;
        }
        if (frame instanceof HostsFrame hosts) {
            receive(hosts);
            return;
        }
        exchange.handleFrame(link, frame);
    }

    /** Hands on a list from another relay, unless this entry is a relay and reads its own. */
    private void receive(HostsFrame frame) {
        if (relay) {
            return;
        }
        try {
            hostsListener.accept(JsonCodec.read(frame.hosts(), HostList.class));
        } catch (ModelException malformed) {
            logger.warn("event=hosts-malformed detail={}", malformed.getMessage());
        }
    }

    private void introduced(Link link, HelloFrame hello) {
        namesByLink.put(link, hello.name());
        dialled.values().stream().filter(peer -> peer.link() == link).forEach(peer -> checkName(peer, hello));
    }

    private void checkName(DialledPeer peer, HelloFrame hello) {
        if (peer.host().name().equals(hello.name())) {
            peer.heard();
            return;
        }
        logger.warn(
                "event=peer-replaced listed={} found={} incarnation={}",
                peer.host().name(),
                hello.name(),
                hello.incarnation());
        peer.link().close();
    }

    /** Tells peers that are behind how far the log of this process reaches. */
    public void notifyLaggingPeers() {
        exchange.notifyLaggingPeers();
    }

    /** Opens links that are missing, closes those that are silent or no longer wanted, and sends heartbeats. */
    public void tick() {
        closeSilent();
        select();
        exchange.tick();
    }

    private void closeSilent() {
        for (DialledPeer peer : new ArrayList<>(dialled.values())) {
            if (peer.link() != null && isSilent(peer)) {
                logger.warn("event=peer-silent peer={}", peer.host().name());
                peer.link().close();
            }
        }
        for (Map.Entry<Link, String> taken : List.copyOf(namesByLink.entrySet())) {
            if (!wasHeard(taken.getKey(), SILENCE_MILLIS)) {
                taken.getKey().close();
            }
        }
    }

    private boolean isSilent(DialledPeer peer) {
        return peer.isOpen()
                ? !wasHeard(peer.link(), SILENCE_MILLIS)
                : clock.isPast(peer.dialledAtNanos() + CONNECT_MILLIS * Clock.NANOS_PER_MILLI);
    }

    private boolean wasHeard(Link link, long withinMillis) {
        return !clock.isPast(link.heardAtNanos() + withinMillis * Clock.NANOS_PER_MILLI);
    }

    private void select() {
        RelaySelection selection =
                RelaySelection.of(self.name(), self.zone(), rankings, relaysPerZone, this::conditionOf);
        if (selection.relay() != relay) {
            relay = selection.relay();
            logger.info("event=relay zone={} relay={}", self.zone(), relay);
        }
        dial(selection.wanted());
        closeUnwanted();
    }

    private PeerCondition conditionOf(String name) {
        boolean alive = namesByLink.entrySet().stream()
                .anyMatch(entry -> entry.getValue().equals(name) && wasHeard(entry.getKey(), ALIVE_MILLIS));
        if (alive) {
            return PeerCondition.ALIVE;
        }
        DialledPeer peer = dialled.get(name);
        if (peer == null) {
            return PeerCondition.UNTRIED;
        }
        boolean inTime = !clock.isPast(peer.dialledAtNanos() + CONNECT_MILLIS * Clock.NANOS_PER_MILLI);
        return !peer.hasFailed() && inTime ? PeerCondition.CONNECTING : PeerCondition.SILENT;
    }

    private void dial(Set<String> wanted) {
        long now = clock.nowNanos();
        for (Host host : entries) {
            if (!wanted.contains(host.name())) {
                continue;
            }
            DialledPeer peer = dialled.computeIfAbsent(host.name(), name -> new DialledPeer(host, now));
            peer.host(host);
            peer.wantedUntil(clock.deadlineNanos(UNWANTED_MILLIS));
            if (peer.link() == null && clock.isPast(peer.retryAtNanos())) {
                InetSocketAddress address = new InetSocketAddress(host.address(), host.linkPort());
                peer.dialled(transport.connect(address, new EventListener(host.name())), now);
            }
        }
    }

    private void closeUnwanted() {
        for (DialledPeer peer : List.copyOf(dialled.values())) {
            if (!clock.isPast(peer.wantedUntilNanos())) {
                continue;
            }
            dialled.remove(peer.host().name());
            if (peer.link() != null) {
                peer.link().close();
            }
        }
    }

    /**
     * Tells whether the entry is to read the ticket log from the key-value service.
     *
     * @return whether it is a relay of its availability zone
     */
    public boolean isRelay() {
        return relay;
    }

    /**
     * Lists the entries behind the open links.
     *
     * @return their names in order
     */
    public Set<String> peerNames() {
        Set<String> names = new TreeSet<>(namesByLink.values());
        names.remove("");
        return names;
    }

    /** Passes on what happens on a link. */
    private final class EventListener implements LinkListener {

        private final String name;

        EventListener(String name) {
            this.name = name;
        }

        @Override
        public void onOpen(Link link) {
            events.accept(new PeerEvent.LinkOpened(name, link));
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            events.accept(new PeerEvent.FrameArrived(link, frame));
        }

        @Override
        public void onClosed(Link link) {
            events.accept(new PeerEvent.LinkClosed(name, link));
        }
    }
}
