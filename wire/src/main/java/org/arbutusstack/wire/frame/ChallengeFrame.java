package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that starts the handshake of a link by challenging the peer to prove that it has the shared key.
 *
 * @param nonce random bytes, new for each connection; not copied
 */
public record ChallengeFrame(byte[] nonce) implements Frame {

    static ChallengeFrame read(MessageUnpacker unpacker) throws IOException {
        return new ChallengeFrame(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public FrameType type() {
        return FrameType.CHALLENGE;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packBinaryHeader(nonce.length).writePayload(nonce);
    }
}
