package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that proves that the sender has the shared key.
 *
 * @param mac the message authentication code over the nonces of both ends; not copied
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
