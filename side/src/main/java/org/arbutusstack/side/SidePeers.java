package org.arbutusstack.side;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HeartbeatFrame;
import org.arbutusstack.wire.frame.HelloFrame;
import org.arbutusstack.wire.frame.LogPullFrame;
import org.arbutusstack.wire.frame.LogPushFrame;
import org.arbutusstack.wire.link.Link;

/** Keeps the links of a side and catches up with the ticket log of the peers behind them. Used by its duty only. */
final class SidePeers {

    private static final long SILENCE_MILLIS = 15_000;

    private final LogReplica replica;

    private final Set<Link> links = new LinkedHashSet<>();

    SidePeers(LogReplica replica) {
        this.replica = replica;
    }

    void opened(Link link, HelloFrame hello) {
        links.add(link);
        link.send(hello);
    }

    /** Closes the links on which no heartbeat came for long; an entry that is there opens a new one. */
    void closeSilent(Clock clock) {
        links.stream()
                .filter(link -> clock.isPast(link.heardAtNanos() + SILENCE_MILLIS * Clock.NANOS_PER_MILLI))
                .forEach(Link::close);
    }

    void closed(Link link) {
        links.remove(link);
    }

    /** Answers a heartbeat, so that the entry hears that the link carries both ways, and asks for what is missing. */
    void heartbeat(Link link, HeartbeatFrame heartbeat, boolean leaving) {
        link.send(new HeartbeatFrame(replica.state().sequence(), replica.state().chain(), leaving));
        long have = replica.state().sequence();
        if (heartbeat.sequence() > have) {
            link.send(new LogPullFrame(have));
        }
    }

    boolean push(LogPushFrame push) {
        long before = replica.state().sequence();
        List<TicketEntry> entries = push.entries().stream()
                .map(json -> JsonCodec.read(json, TicketEntry.class))
                .toList();
        replica.append(push.afterSequence(), entries);
        return replica.state().sequence() > before;
    }

    void broadcast(Frame frame) {
        links.forEach(link -> link.send(frame));
    }
}
