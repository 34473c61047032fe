package org.arbutusstack.gateway.plan;

import java.net.InetSocketAddress;
import org.arbutusstack.gateway.quarantine.StrikeExchange;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.ModelDemandFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Link to the entry that currently plans: sends it this entry's demand, and accepts the demand that other
 * entries send to it. Strikes are exchanged in both directions.
 *
 * <p>Confined to the entry's event loop.
 */
public final class PlannerLink {

    private static final Logger logger = LoggerFactory.getLogger(PlannerLink.class);

    private static final long RECONNECT_MILLIS = 300;

    private final LinkTransport transport;

    private final ModelPlanner planner;

    private final StrikeExchange strikes;

    private final Ring<Runnable> loop;

    private final Clock clock;

    private String holder = "";

    private Link link;

    private long reconnectAtNanos;

    /**
     * Create the link; it is opened once the planner's address is known.
     *
     * @param transport opens and accepts links
     * @param planner the source of this entry's demand and the receiver of the other entries' demand
     * @param strikes the exchange of strikes with other entries
     * @param loop the entry's event loop
     * @param clock the clock of the process
     */
    public PlannerLink(
            LinkTransport transport, ModelPlanner planner, StrikeExchange strikes, Ring<Runnable> loop, Clock clock) {
        this.transport = Assert.notNull(transport, "transport");
        this.planner = Assert.notNull(planner, "planner");
        this.strikes = Assert.notNull(strikes, "strikes");
        this.loop = Assert.notNull(loop, "loop");
        this.clock = Assert.notNull(clock, "clock");
        this.reconnectAtNanos = clock.nowNanos();
    }

    /**
     * Accept the links of other entries.
     *
     * @param address the address to listen on
     */
    public void listen(InetSocketAddress address) {
        transport.listen(address, new Acceptor());
    }

    /**
     * Set the address of the planner; a link to another address is closed.
     *
     * @param address the address at which the planner accepts links; empty if no entry plans or this entry does
     */
    public void holder(String address) {
        if (address.equals(holder)) {
            return;
        }
        holder = address;
        if (link != null) {
            strikes.plannerDisconnected(link);
            link.close();
            link = null;
        }
        reconnectAtNanos = clock.nowNanos();
    }

    /** Open the link if needed and send this entry's demand to the planner. */
    public void tick() {
        if (holder.isEmpty()) {
            return;
        }
        if (link == null && clock.isPast(reconnectAtNanos)) {
            HttpTarget target = HttpTarget.parse(holder);
            link = transport.connect(new InetSocketAddress(target.address(), target.port()), new Opener());
        }
        if (link != null && link.isOpen()) {
            planner.ownDemand().forEach(link::send);
        }
    }

    private void handleOpened(Link opened) {
        if (link == opened) {
            strikes.plannerConnected(opened);
        }
    }

    private void handleClosed(Link closed) {
        if (link == closed) {
            strikes.plannerDisconnected(closed);
            link = null;
            reconnectAtNanos = clock.deadlineNanos(RECONNECT_MILLIS);
        }
    }

    /** Listener of the link to the planner; receives strikes. */
    private final class Opener implements LinkListener {

        @Override
        public void onOpen(Link opened) {
            loop.offer(() -> handleOpened(opened));
        }

        @Override
        public void onFrame(Link from, Frame frame) {
            if (frame instanceof StrikeFrame strike && !loop.offer(() -> strikes.receivedFromPlanner(strike))) {
                logRingFull(frame);
            }
        }

        @Override
        public void onClosed(Link closed) {
            loop.offer(() -> handleClosed(closed));
        }
    }

    private static void logRingFull(Frame frame) {
        logger.warn("event=ring-full duty=entry frame={}", frame.type());
    }

    /** Listener of the links of other entries; receives their demand and their strikes. */
    private final class Acceptor implements LinkListener {

        @Override
        public void onOpen(Link opened) {
            loop.offer(() -> strikes.entryConnected(opened));
        }

        @Override
        public void onFrame(Link from, Frame frame) {
            if (frame instanceof ModelDemandFrame demand) {
                loop.offer(() -> planner.receive(demand));
            } else if (frame instanceof StrikeFrame strike
                    && !loop.offer(() -> strikes.receivedFromEntry(from, strike))) {
                logRingFull(frame);
            }
        }

        @Override
        public void onClosed(Link closed) {
            loop.offer(() -> strikes.entryDisconnected(closed));
        }
    }
}
