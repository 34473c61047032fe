package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that notifies a peer that a frame it sent could not be decoded.
 *
 * @param detail a description of the error
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
