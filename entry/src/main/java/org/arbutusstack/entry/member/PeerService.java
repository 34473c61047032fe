package org.arbutusstack.entry.member;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.peer.PeerDirectory;
import org.arbutusstack.ledger.peer.PeerEvent;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that owns the links of this entry to other entries, on an event loop of its own.
 *
 * <p>{@link #hostsChanged}, {@link #publish}, {@link #isRelay} and {@link #peerNames} may be called by any thread.
 *
 * @see PeerDirectory
 */
public final class PeerService implements Service {

    /** Name under which the service is registered. */
    public static final String NAME = "peers";

    private static final Logger logger = LoggerFactory.getLogger(PeerService.class);

    private static final int RING_SIZE = 4_096;

    private static final long TICK_MILLIS = 100;

    private final InetSocketAddress linkAddress;

    private final PeerDirectory directory;

    private final MemberMetrics metrics;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>(NAME, RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("peers-ticker");

    private volatile boolean relay;

    private volatile Set<String> peerNames = Set.of();

    /**
     * Create a new {@code PeerService}.
     *
     * @param identity the identity of this entry
     * @param linkAddress the address on which links from other entries are accepted
     * @param transport the transport that opens and accepts links
     * @param replica the local replica of the ticket log
     * @param clock the process clock
     * @param relaysPerZone the number of relays in each availability zone
     * @param metrics the metrics of the links between entries
     */
    public PeerService(
            EntryIdentity identity,
            InetSocketAddress linkAddress,
            LinkTransport transport,
            LogReplica replica,
            Clock clock,
            int relaysPerZone,
            MemberMetrics metrics) {
        this.metrics = Assert.notNull(metrics, "metrics");
        Assert.notNull(identity, "identity");
        this.linkAddress = Assert.notNull(linkAddress, "linkAddress");
        this.directory =
                new PeerDirectory(identity.hello(), transport, replica, clock, relaysPerZone, this::linkChanged);
        replica.addListener(state -> offer(directory::notifyLaggingPeers));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        eventLoop.start();
        directory.listen(linkAddress);
        ticker.every(TICK_MILLIS, () -> eventLoop.offer(this::tick));
    }

    private void linkChanged(PeerEvent event) {
        offer(() -> directory.handle(event));
    }

    private void offer(Runnable task) {
        if (!eventLoop.offer(task)) {
            metrics.ringFull();
            logger.warn("event=peers-ring-full depth={}", eventLoop.depth());
        }
    }

    private void tick() {
        directory.tick();
        relay = directory.isRelay();
        peerNames = directory.peerNames();
        metrics.peers(peerNames.size(), relay);
    }

    /**
     * Notify the service that the host list has changed.
     *
     * @param hosts the new host list
     */
    public void hostsChanged(HostList hosts) {
        offer(() -> directory.hostsChanged(hosts));
    }

    /**
     * Set the listener for host lists received from relays. Has to be called before the service is started.
     *
     * @param listener the listener notified of each list; must not block
     */
    public void onHosts(Consumer<HostList> listener) {
        directory.setHostsListener(listener);
    }

    /**
     * Send a host list read by this entry to other entries, if this entry is a relay.
     *
     * @param hosts the host list as read
     */
    public void publish(HostList hosts) {
        offer(() -> directory.publish(hosts));
    }

    /**
     * Return whether this entry is a relay of its availability zone.
     *
     * @return {@code true} if it is a relay
     */
    public boolean isRelay() {
        return relay;
    }

    /**
     * Return the names of the entries to which a link is open.
     *
     * @return the names in ascending order
     */
    public Set<String> peerNames() {
        return peerNames;
    }

    @Override
    public void stop() {
        ticker.stop();
        eventLoop.stop();
    }
}
