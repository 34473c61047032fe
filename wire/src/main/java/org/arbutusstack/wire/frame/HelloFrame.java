package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.host.HostRole;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Introduces a process; the first frame in each direction of a link.
 *
 * @param name the host's name
 * @param role what the process does
 * @param service the service of the backend server beside it; empty for an entry
 * @param zone the availability zone
 * @param incarnation the name of this run of the process, new with each start
 */
public record HelloFrame(String name, HostRole role, String service, String zone, String incarnation) implements Frame {

    static HelloFrame read(MessageUnpacker unpacker) throws IOException {
        return new HelloFrame(
                unpacker.unpackString(),
                HostRole.valueOf(unpacker.unpackString()),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString());
    }

    @Override
    public FrameType type() {
        return FrameType.HELLO;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(name);
        packer.packString(role.name());
        packer.packString(service);
        packer.packString(zone);
        packer.packString(incarnation);
    }
}
