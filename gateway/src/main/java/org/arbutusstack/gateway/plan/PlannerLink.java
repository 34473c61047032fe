package org.arbutusstack.gateway.plan;

import java.net.InetSocketAddress;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.ModelDemandFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;

/**
 * Link to the entry that currently plans: sends it this entry's demand, and accepts the demand that other
 * entries send to it.
 *
 * <p>Confined to the entry's event loop.
 */
public final class PlannerLink {

    private static final long RECONNECT_MILLIS = 300;

    private final LinkTransport transport;

    private final ModelPlanner planner;

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
     * @param loop the entry's event loop
     * @param clock the clock of the process
     */
    public PlannerLink(LinkTransport transport, ModelPlanner planner, Ring<Runnable> loop, Clock clock) {
        this.transport = Assert.notNull(transport, "transport");
        this.planner = Assert.notNull(planner, "planner");
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

    private void handleClosed(Link closed) {
        if (link == closed) {
            link = null;
            reconnectAtNanos = clock.deadlineNanos(RECONNECT_MILLIS);
        }
    }

    /** Listener of the link to the planner; handles only its closing. */
    private final class Opener implements LinkListener {

        @Override
        public void onOpen(Link opened) {}

        @Override
        public void onFrame(Link from, Frame frame) {}

        @Override
        public void onClosed(Link closed) {
            loop.offer(() -> handleClosed(closed));
        }
    }

    /** Listener of the links of other entries; receives their demand. */
    private final class Acceptor implements LinkListener {

        @Override
        public void onOpen(Link opened) {}

        @Override
        public void onFrame(Link from, Frame frame) {
            if (frame instanceof ModelDemandFrame demand) {
                loop.offer(() -> planner.receive(demand));
            }
        }

        @Override
        public void onClosed(Link closed) {}
    }
}
