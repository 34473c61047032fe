package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.digest.Digest;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that requests the next part of a snapshot of the ticket log from a peer.
 *
 * @param digest the digest of the whole snapshot
 * @param offset the number of bytes that the requester has
 */
public record SnapshotPullFrame(Digest digest, int offset) implements Frame {

    static SnapshotPullFrame read(MessageUnpacker unpacker) throws IOException {
        return new SnapshotPullFrame(Frames.unpackDigest(unpacker), unpacker.unpackInt());
    }

    @Override
    public FrameType type() {
        return FrameType.SNAPSHOT_PULL;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        Frames.packDigest(packer, digest);
        packer.packInt(offset);
    }
}
