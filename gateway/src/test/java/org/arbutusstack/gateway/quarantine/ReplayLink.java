package org.arbutusstack.gateway.quarantine;

import java.util.function.Consumer;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;

/** Link of a replay, whose frames arrive a while later; always open. */
final class ReplayLink implements Link {

    private final ReplayLoop loop;

    private final long delayMillis;

    private final Consumer<StrikeFrame> receiver;

    ReplayLink(ReplayLoop loop, long delayMillis, Consumer<StrikeFrame> receiver) {
        this.loop = loop;
        this.delayMillis = delayMillis;
        this.receiver = receiver;
    }

    @Override
    public boolean send(Frame frame) {
        loop.after(delayMillis, () -> receiver.accept((StrikeFrame) frame));
        return true;
    }

    @Override
    public void close() {
        throw new UnsupportedOperationException("links stay open in a replay");
    }

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public long lastReceivedAtNanos() {
        return loop.clock().nowNanos();
    }

    @Override
    public String remote() {
        return "replay";
    }
}
