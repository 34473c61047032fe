package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.digest.Digest;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that carries a part of a snapshot of the ticket log.
 *
 * @param digest the digest of the whole snapshot
 * @param sizeBytes the size of the whole snapshot in bytes
 * @param offset the number of bytes before this part
 * @param part the bytes of this part; not copied
 */
public record SnapshotPushFrame(Digest digest, int sizeBytes, int offset, byte[] part) implements Frame {

    static SnapshotPushFrame read(MessageUnpacker unpacker) throws IOException {
        return new SnapshotPushFrame(
                Frames.unpackDigest(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public FrameType type() {
        return FrameType.SNAPSHOT_PUSH;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        Frames.packDigest(packer, digest);
        packer.packInt(sizeBytes);
        packer.packInt(offset);
        packer.packBinaryHeader(part.length).writePayload(part);
    }
}
