package org.arbutusstack.entry.member;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Duty;
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
 * Runs the duty that owns an entry's links to other entries.
 *
 * <p>{@link #hostsChanged}, {@link #isRelay} and {@link #peerNames} may be called by any thread.
 *
 * @see PeerDirectory
 */
public final class PeerService implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "peers";

    private static final Logger logger = LoggerFactory.getLogger(PeerService.class);

    private static final int RING_SIZE = 4_096;

    private static final long TICK_MILLIS = 100;

    private final InetSocketAddress linkAddress;

    private final PeerDirectory directory;

    private final MemberMetrics metrics;

    private final Duty<Runnable> duty = new Duty<>(NAME, RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("peers-ticker");

    private volatile boolean relay;

    private volatile Set<String> peerNames = Set.of();

    /**
     * Creates the service.
     *
     * @param identity who the entry is
     * @param linkAddress where links from other entries are taken
     * @param transport opens and takes links
     * @param replica this process's copy of the ticket log
     * @param clock the clock of the process
     * @param relaysPerZone the number of relays in each availability zone
     * @param metrics tells the links
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
        duty.start();
        directory.listen(linkAddress);
        ticker.every(TICK_MILLIS, () -> duty.offer(this::tick));
    }

    private void linkChanged(PeerEvent event) {
        offer(() -> directory.handle(event));
    }

    private void offer(Runnable task) {
        if (!duty.offer(task)) {
            metrics.ringFull();
            logger.warn("event=peers-ring-full depth={}", duty.depth());
        }
    }

    private void tick() {
        directory.tick();
        relay = directory.isRelay();
        peerNames = directory.peerNames();
        metrics.peers(peerNames.size(), relay);
    }

    /**
     * Tells the service that the host list changed.
     *
     * @param hosts the list
     */
    public void hostsChanged(HostList hosts) {
        offer(() -> directory.hostsChanged(hosts));
    }

    /**
     * Sets who learns of host lists that relays send; to be called before the start.
     *
     * @param listener learns of each list; must not block
     */
    public void onHosts(Consumer<HostList> listener) {
        directory.setHostsListener(listener);
    }

    /**
     * Sends a host list that this entry has read to other entries, if it is a relay.
     *
     * @param hosts the list as read
     */
    public void publish(HostList hosts) {
        offer(() -> directory.publish(hosts));
    }

    /**
     * Tells whether the entry is a relay of its availability zone.
     *
     * @return whether it is
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
        return peerNames;
    }

    @Override
    public void stop() {
        ticker.stop();
        duty.stop();
    }
}
