package org.arbutusstack.entry.router;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** {@link Link} that records the frames sent. */
final class FakeLink implements Link {

    private final List<Frame> sent = new ArrayList<>();

    private boolean open = true;

    private boolean full;

    private long lastReceivedAtNanos;

    <F extends Frame> List<F> sent(Class<F> type) {
        return sent.stream().filter(type::isInstance).map(type::cast).toList();
    }

    void full(boolean isFull) {
        full = isFull;
    }

    void receivedAt(long nanos) {
        lastReceivedAtNanos = nanos;
    }

    @Override
    public boolean send(Frame frame) {
        return open && !full && sent.add(frame);
    }

    @Override
    public void close() {
        open = false;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public long lastReceivedAtNanos() {
        return lastReceivedAtNanos;
    }

    @Override
    public String remote() {
        return "fake";
    }
}
