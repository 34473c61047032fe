package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Proves that the sender has the shared key.
 *
 * @param mac the keyed digest over both ends' nonces; not copied
 */
public record ProofFrame(byte[] mac) implements Frame {

    static ProofFrame read(MessageUnpacker unpacker) throws IOException {
        return new ProofFrame(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public FrameType type() {
        return FrameType.PROOF;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packBinaryHeader(mac.length).writePayload(mac);
    }
}
