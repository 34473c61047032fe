package org.arbutusstack.wire.frame;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Asks the process beside a runner for its status at once, before a request is sent to the runner. */
public record StatusRequestFrame() implements Frame {

    static StatusRequestFrame read(MessageUnpacker unpacker) {
        return new StatusRequestFrame();
    }

    @Override
    public FrameType type() {
        return FrameType.STATUS_REQUEST;
    }

    @Override
    public void write(MessagePacker packer) {}
}
