package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that carries the host list as a relay has read it.
 *
 * @param hosts the host list in JSON; not copied
 */
public record HostsFrame(byte[] hosts) implements Frame {

    static HostsFrame read(MessageUnpacker unpacker) throws IOException {
        return new HostsFrame(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public FrameType type() {
        return FrameType.HOSTS;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packBinaryHeader(hosts.length).writePayload(hosts);
    }
}
