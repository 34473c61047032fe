package org.arbutusstack.ledger.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.ledger.LogReader;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.ScriptedStore;
import org.arbutusstack.ledger.TicketLog;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.host.HostStatus;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;

/** Runs the ledger of several entries and sides on a fake network in virtual time. */
final class FakeProcesses {

    static final long TICK_MILLIS = 100;

    private static final int FIRST_PORT = 2_000;

    final ManualClock clock = new ManualClock(1);

    /** A clock whose pauses return at once, since advancing the time would affect all processes. */
    final Clock nonBlockingClock = new Clock() {

        @Override
        public long nowNanos() {
            return clock.nowNanos();
        }

        @Override
        public long wallMillis() {
            return clock.wallMillis();
        }

        @Override
        public void pause(long millis) {}
    };

    final ScriptedStore store = new ScriptedStore(clock);

    final FakeNetwork network = new FakeNetwork(clock, 1);

    final List<Entry> entries = new ArrayList<>();

    final List<Side> sides = new ArrayList<>();

    private final List<Host> hosts = new ArrayList<>();

    private final long sideHeartbeatMillis;

    long watchDelayMillis = 2;

    FakeProcesses(long sideHeartbeatMillis) {
        this.sideHeartbeatMillis = sideHeartbeatMillis;
    }

    private Host addHost(String name, HostRole role, String region, String zone) {
        int port = FIRST_PORT + hosts.size();
        Host host = new Host(name, role, "", region, zone, "127.0.0.1", port, HostStatus.LIVE);
        hosts.add(host);
        return host;
    }

    Entry addEntry(String region, String zone) {
        Entry entry = new Entry(addHost("entry-" + (entries.size() + 1), HostRole.ENTRY, region, zone));
        entries.add(entry);
        return entry;
    }

    Side addSide(String region, String zone) {
        Side side = new Side(addHost("side-" + (sides.size() + 1), HostRole.SIDE, region, zone));
        sides.add(side);
        return side;
    }

    /** Passes the host list to every live entry, which dials the sides of its region. */
    void publish() {
        HostList list = new HostList(hosts);
        entries.stream().filter(entry -> !entry.process.isDead()).forEach(entry -> entry.hostsChanged(list));
    }

    long countEntriesAt(long sequence) {
        return entries.stream()
                .filter(entry -> entry.replica.state().sequence() >= sequence)
                .count();
    }

    long countSidesAt(long sequence) {
        return sides.stream()
                .filter(side -> side.replica.state().sequence() >= sequence)
                .count();
    }

    long countRelays() {
        return entries.stream()
                .filter(entry -> !entry.process.isDead() && entry.peers.isRelay())
                .count();
    }

    /** An entry with its links to other entries, its links to sides, and the follower of the key-value service. */
    final class Entry {

        final Host host;

        final FakeNetwork.Process process;

        final LogReplica replica = new LogReplica();

        final LogFollower follower = new LogFollower(
                store, new LogReader(store, replica, nonBlockingClock), nonBlockingClock, new DirectRing());

        final TicketLog log = new TicketLog(store, replica, List.of(), nonBlockingClock);

        final PeerDirectory peers;

        final LogExchange sideLinks = new LogExchange(replica, clock, sideHeartbeatMillis);

        private final List<String> dialledSides = new ArrayList<>();

        Entry(Host host) {
            this.host = host;
            this.process = network.new Process(host.linkPort(), host.region());
            HelloFrame hello = new HelloFrame(host.name(), host.role(), "", host.zone(), "1");
            this.peers = new PeerDirectory(hello, process, replica, clock, 2, event -> handle(event));
            this.peers.listen(null);
            this.replica.addListener(state -> network.schedule(0, () -> process.run(this::advanced)));
            network.scheduleRepeatedly(TICK_MILLIS, process, this::tick);
        }

        private void handle(PeerEvent event) {
            peers.handle(event);
        }

        private void advanced() {
            peers.notifyLaggingPeers();
            sideLinks.notifyLaggingPeers();
        }

        private void tick() {
            peers.tick();
            sideLinks.tick();
            follower.setRelay(peers.isRelay());
            follower.tick();
        }

        private void hostsChanged(HostList list) {
            peers.hostsChanged(list);
            for (Host side : list.hosts()) {
                boolean isInRegion =
                        side.role() == HostRole.SIDE && side.region().equals(host.region());
                if (isInRegion && !dialledSides.contains(side.name())) {
                    dialledSides.add(side.name());
                    process.connect(
                            new InetSocketAddress(side.address(), side.linkPort()), new ExchangeListener(sideLinks));
                }
            }
        }

        /** Runs tasks of the watch on the process after a delay. */
        private final class DirectRing implements Ring<Runnable> {

            @Override
            public boolean offer(Runnable task) {
                network.schedule(watchDelayMillis, () -> process.run(task));
                return true;
            }

            @Override
            public int depth() {
                return 0;
            }

            @Override
            public int capacity() {
                return 1;
            }
        }
    }

    /** A side with its replica of the log and the links that entries open to it. */
    final class Side {

        final FakeNetwork.Process process;

        final LogReplica replica = new LogReplica();

        final LogExchange exchange = new LogExchange(replica, clock, sideHeartbeatMillis);

        Side(Host host) {
            this.process = network.new Process(host.linkPort(), host.region());
            process.listen(null, new ExchangeListener(exchange));
            replica.addListener(state -> network.schedule(0, () -> process.run(exchange::notifyLaggingPeers)));
            network.scheduleRepeatedly(TICK_MILLIS, process, exchange::tick);
        }
    }

    /** Passes the events of links to an exchange. */
    private record ExchangeListener(LogExchange exchange) implements LinkListener {

        @Override
        public void onOpen(Link link) {
            exchange.linkOpened(link);
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            exchange.handleFrame(link, frame);
        }

        @Override
        public void onClosed(Link link) {
            exchange.linkClosed(link);
        }
    }
}
