package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells a peer that a frame it sent could not be read.
 *
 * @param detail what was wrong
 */
public record ProtocolErrorFrame(String detail) implements Frame {

    static ProtocolErrorFrame read(MessageUnpacker unpacker) throws IOException {
        return new ProtocolErrorFrame(unpacker.unpackString());
    }

    @Override
    public FrameType type() {
        return FrameType.PROTOCOL_ERROR;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(detail);
    }
}
