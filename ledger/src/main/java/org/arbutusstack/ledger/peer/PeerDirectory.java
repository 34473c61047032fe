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
import org.arbutusstack.kernel.ring.IsolatedSteps;
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
 * Maintains the links of an entry to other entries, disseminates the ticket log over them and determines whether the
 * entry is a relay.
 *
 * <p>An entry dials the relays of its availability zone; a relay also dials those of the other zones. Used by a single
 * thread; events are passed to the consumer by the thread of the transport.
 *
 * @see RelaySelection
 * @see LogExchange
 */
public final class PeerDirectory {

    private static final Logger logger = LoggerFactory.getLogger(PeerDirectory.class);

    private static final long RECONNECT_DELAY_MILLIS = 200;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final long ALIVE_WINDOW_MILLIS = 1_500;

    private static final long RECEIVE_TIMEOUT_MILLIS = 3_000;

    private static final long UNWANTED_DELAY_MILLIS = 10_000;

    private final HelloFrame self;

    private final LinkTransport transport;

    private final Clock clock;

    private final int relaysPerZone;

    private final Consumer<PeerEvent> events;

    private final LogExchange exchange;

    private final Map<String, DialledPeer> dialled = new HashMap<>();

    private final Map<Link, String> namesByLink = new LinkedHashMap<>();

    private Consumer<HostList> hostsListener = hosts -> {};

    private HostsFrame publishedHosts;

    private List<Host> entries = List.of();

    private Map<String, List<String>> rankings = Map.of();

    private boolean relay;

    /**
     * Create a directory.
     *
     * @param self the frame by which the entry identifies itself
     * @param transport opens and accepts links
     * @param replica this process's replica of the ticket log
     * @param clock the source of monotonic and wall-clock time
     * @param relaysPerZone the number of relays in each availability zone
     * @param events receives the events of links, to be passed to {@link #handle} by the owning thread
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
     * Start to accept links.
     *
     * @param address the address to listen on
     */
    public void listen(InetSocketAddress address) {
        transport.listen(address, new EventListener(""));
    }

    /**
     * Set the listener for host lists that are received from relays.
     *
     * @param listener receives each list; must not block
     */
    public void setHostsListener(Consumer<HostList> listener) {
        hostsListener = Assert.notNull(listener, "listener");
    }

    /**
     * Send a host list that this entry has read to the entries linked to it, if it is a relay.
     *
     * @param hosts the list as read
     */
    public void publish(HostList hosts) {
        publishedHosts = new HostsFrame(JsonCodec.write(hosts));
        if (relay) {
            namesByLink.keySet().forEach(link -> link.send(publishedHosts));
        }
    }

    /**
     * Update the links for a changed host list.
     *
     * @param hosts the new list
     */
    public void hostsChanged(HostList hosts) {
        entries = hosts.hosts().stream()
                .filter(host -> host.role() == HostRole.ENTRY && host.status() == HostStatus.LIVE)
                .toList();
        rankings = RelaySelection.rank(entries);
        updateLinks();
    }

    /**
     * Handle an event of a link.
     *
     * @param event the event
     */
    public void handle(PeerEvent event) {
        if (event instanceof PeerEvent.LinkOpened opened) {
            handleOpened(opened);
        } else if (event instanceof PeerEvent.LinkClosed closed) {
            handleClosed(closed);
        } else if (event instanceof PeerEvent.FrameArrived arrived) {
            handleFrame(arrived.link(), arrived.frame());
        }
    }

    private void handleOpened(PeerEvent.LinkOpened event) {
        DialledPeer peer = dialled.get(event.name());
        if (peer != null && peer.link() == event.link()) {
            peer.markOpen();
        }
        namesByLink.put(event.link(), "");
        event.link().send(self);
        if (relay && publishedHosts != null) {
            event.link().send(publishedHosts);
        }
        exchange.linkOpened(event.link());
    }

    private void handleClosed(PeerEvent.LinkClosed event) {
        DialledPeer peer = dialled.get(event.name());
        if (peer != null && peer.link() == event.link()) {
            peer.markClosed(clock.deadlineNanos(RECONNECT_DELAY_MILLIS));
        }
        namesByLink.remove(event.link());
        exchange.linkClosed(event.link());
        updateLinks();
    }

    private void handleFrame(Link link, Frame frame) {
        if (!namesByLink.containsKey(link)) {
            return;
        }
        if (frame instanceof HelloFrame hello) {
            handleHello(link, hello);
            return;
        }
        if (frame instanceof HostsFrame hosts) {
            receiveHosts(hosts);
            return;
        }
        exchange.handleFrame(link, frame);
    }

    /** Pass on a host list from a relay, unless this entry is a relay itself and reads its own list. */
    private void receiveHosts(HostsFrame frame) {
        if (relay) {
            return;
        }
        try {
            hostsListener.accept(JsonCodec.read(frame.hosts(), HostList.class));
        } catch (ModelException malformed) {
            logger.warn("event=hosts-malformed detail={}", malformed.getMessage());
        }
    }

    private void handleHello(Link link, HelloFrame hello) {
        namesByLink.put(link, hello.name());
        dialled.values().stream().filter(peer -> peer.link() == link).forEach(peer -> verifyName(peer, hello));
    }

    private void verifyName(DialledPeer peer, HelloFrame hello) {
        if (peer.host().name().equals(hello.name())) {
            peer.clearFailure();
            return;
        }
        logger.warn(
                "event=peer-replaced listed={} found={} incarnation={}",
                peer.host().name(),
                hello.name(),
                hello.incarnation());
        peer.link().close();
    }

    /** Send a heartbeat to the peers that are not known to have the whole log; called when the replica has advanced. */
    public void notifyLaggingPeers() {
        exchange.notifyLaggingPeers();
    }

    /** Open missing links, close links that are unresponsive or no longer wanted, and send heartbeats that are due. */
    public void tick() {
        closeUnresponsive();
        updateLinks();
        exchange.tick();
    }

    private void closeUnresponsive() {
        for (DialledPeer peer : new ArrayList<>(dialled.values())) {
            if (peer.link() != null && isUnresponsive(peer)) {
                logger.warn("event=peer-silent peer={}", peer.host().name());
                peer.link().close();
            }
        }
        for (Map.Entry<Link, String> taken : List.copyOf(namesByLink.entrySet())) {
            if (!hasReceivedWithin(taken.getKey(), RECEIVE_TIMEOUT_MILLIS)) {
                taken.getKey().close();
            }
        }
    }

    private boolean isUnresponsive(DialledPeer peer) {
        return peer.isOpen()
                ? !hasReceivedWithin(peer.link(), RECEIVE_TIMEOUT_MILLIS)
                : clock.isPast(peer.dialledAtNanos() + CONNECT_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI);
    }

    private boolean hasReceivedWithin(Link link, long withinMillis) {
        return !clock.isPast(link.lastReceivedAtNanos() + withinMillis * Clock.NANOS_PER_MILLI);
    }

    private void updateLinks() {
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
                .anyMatch(entry ->
                        entry.getValue().equals(name) && hasReceivedWithin(entry.getKey(), ALIVE_WINDOW_MILLIS));
        if (alive) {
            return PeerCondition.ALIVE;
        }
        DialledPeer peer = dialled.get(name);
        if (peer == null) {
            return PeerCondition.UNTRIED;
        }
        boolean inTime = !clock.isPast(peer.dialledAtNanos() + CONNECT_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI);
        return !peer.hasFailed() && inTime ? PeerCondition.CONNECTING : PeerCondition.SILENT;
    }

    private void dial(Set<String> wanted) {
        long now = clock.nowNanos();
        IsolatedSteps.forEach("peer-links", entries, host -> {
            if (!wanted.contains(host.name())) {
                return;
            }
            DialledPeer peer = dialled.computeIfAbsent(host.name(), name -> new DialledPeer(host, now));
            peer.updateHost(host);
            peer.setWantedUntil(clock.deadlineNanos(UNWANTED_DELAY_MILLIS));
            if (peer.link() == null && clock.isPast(peer.retryAtNanos())) {
                InetSocketAddress address = new InetSocketAddress(host.address(), host.linkPort());
                peer.markConnecting(transport.connect(address, new EventListener(host.name())), now);
            }
        });
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
     * Return whether the entry is a relay of its availability zone. Relays read the ticket log from the key-value
     * service.
     *
     * @return whether it is a relay
     */
    public boolean isRelay() {
        return relay;
    }

    /**
     * Return the names of the entries behind the open links that have identified themselves.
     *
     * @return the names in alphabetical order
     */
    public Set<String> peerNames() {
        Set<String> names = new TreeSet<>(namesByLink.values());
        names.remove("");
        return names;
    }

    /** Passes the events of a link to the consumer. */
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
