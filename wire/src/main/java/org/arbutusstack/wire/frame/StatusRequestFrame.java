package org.arbutusstack.wire.frame;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that requests an immediate status of a runner from the process beside it, before a request is sent to the
 * runner.
 */
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
