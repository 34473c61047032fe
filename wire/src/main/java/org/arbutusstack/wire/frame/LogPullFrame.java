package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that requests entries of the ticket log from a peer.
 *
 * @param afterSequence the log sequence of the last entry that the requester has
 */
public record LogPullFrame(long afterSequence) implements Frame {

    static LogPullFrame read(MessageUnpacker unpacker) throws IOException {
        return new LogPullFrame(unpacker.unpackLong());
    }

    @Override
    public FrameType type() {
        return FrameType.LOG_PULL;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(afterSequence);
    }
}
