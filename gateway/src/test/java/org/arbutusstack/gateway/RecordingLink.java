package org.arbutusstack.gateway;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** {@link Link} that records the frames sent through it and is always open. */
public final class RecordingLink implements Link {

    public final List<Frame> sent = new ArrayList<>();

    @Override
    public boolean send(Frame frame) {
        return sent.add(frame);
    }

    @Override
    public void close() {}

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public long lastReceivedAtNanos() {
        return 0;
    }

    @Override
    public String remote() {
        return "test";
    }
}
