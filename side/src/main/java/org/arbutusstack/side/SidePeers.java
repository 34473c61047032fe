package org.arbutusstack.side;

import java.util.LinkedHashSet;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.peer.LogExchange;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.link.Link;

/** Links of a side to the entries, over which the ticket logs are synchronized. Confined to the side's event loop. */
final class SidePeers {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_500;

    private static final long LINK_TIMEOUT_MILLIS = 15_000;

    private final LogExchange exchange;

    private final Set<Link> links = new LinkedHashSet<>();

    SidePeers(LogReplica replica, Clock clock) {
        this.exchange = new LogExchange(replica, clock, HEARTBEAT_INTERVAL_MILLIS);
    }

    void linkOpened(Link link, HelloFrame hello) {
        links.add(link);
        link.send(hello);
        exchange.linkOpened(link);
    }

    /** Close the links on which nothing was received within the timeout. An entry that still runs opens a new one. */
    void closeUnresponsive(Clock clock) {
        links.stream()
                .filter(link -> clock.isPast(link.lastReceivedAtNanos() + LINK_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI))
                .forEach(Link::close);
    }

    void linkClosed(Link link) {
        links.remove(link);
        exchange.linkClosed(link);
    }

    /** Handle a frame if it belongs to the ticket log, and return whether it did. */
    boolean handleFrame(Link link, Frame frame) {
        return exchange.handleFrame(link, frame);
    }

    void logAdvanced() {
        exchange.notifyLaggingPeers();
    }

    void announceLeaving() {
        exchange.setDraining(true);
    }

    void tick() {
        exchange.tick();
    }

    void broadcast(Frame frame) {
        links.forEach(link -> link.send(frame));
    }
}
