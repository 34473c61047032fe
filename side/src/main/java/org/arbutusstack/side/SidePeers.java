package org.arbutusstack.side;

import java.util.LinkedHashSet;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.peer.LogExchange;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.link.Link;

/** Keeps the links of a side and the ticket logs at their ends alike. Used by the side's duty only. */
final class SidePeers {

    private final LogExchange exchange;

    private final Set<Link> links = new LinkedHashSet<>();

    SidePeers(LogReplica replica, Clock clock) {
        this.exchange = new LogExchange(replica, clock, LogExchange.HEARTBEAT_MILLIS);
    }

    void opened(Link link, HelloFrame hello) {
        links.add(link);
        link.send(hello);
        exchange.opened(link);
    }

    void closed(Link link) {
        links.remove(link);
        exchange.closed(link);
    }

    /** Takes a frame of the ticket log; tells whether it was one. */
    boolean take(Link link, Frame frame) {
        return exchange.take(link, frame);
    }

    void advanced() {
        exchange.advanced();
    }

    void leaving() {
        exchange.leaving(true);
    }

    void tick() {
        exchange.tick();
    }

    void broadcast(Frame frame) {
        links.forEach(link -> link.send(frame));
    }
}
