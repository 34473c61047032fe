package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that carries entries of the ticket log.
 *
 * @param afterSequence the log sequence of the entry before the first one carried
 * @param entries the entries in JSON, in order
 * @param chain the chain digest after the last entry carried
 */
public record LogPushFrame(long afterSequence, List<byte[]> entries, Digest chain) implements Frame {

    static LogPushFrame read(MessageUnpacker unpacker) throws IOException {
        return new LogPushFrame(unpacker.unpackLong(), Frames.unpackBlobs(unpacker), Frames.unpackDigest(unpacker));
    }

    @Override
    public FrameType type() {
        return FrameType.LOG_PUSH;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(afterSequence);
        Frames.packBlobs(packer, entries);
        Frames.packDigest(packer, chain);
    }
}
