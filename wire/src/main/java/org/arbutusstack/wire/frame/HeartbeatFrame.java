package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.digest.Digest;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports that a process is alive and how far its ticket log reaches.
 *
 * @param sequence the log sequence of the last entry applied
 * @param chain the chain digest after that entry
 * @param leaving whether the process is draining and accepts no new work
 */
public record HeartbeatFrame(long sequence, Digest chain, boolean leaving) implements Frame {

    static HeartbeatFrame read(MessageUnpacker unpacker) throws IOException {
        return new HeartbeatFrame(unpacker.unpackLong(), Frames.unpackDigest(unpacker), unpacker.unpackBoolean());
    }

    @Override
    public FrameType type() {
        return FrameType.HEARTBEAT;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(sequence);
        Frames.packDigest(packer, chain);
        packer.packBoolean(leaving);
    }
}
