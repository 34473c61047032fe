package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.host.HostRole;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that identifies a process; the first frame in each direction of a link after its handshake.
 *
 * @param name the host's name
 * @param role the role of the process
 * @param service the service of the backend server beside the process; empty for an entry
 * @param zone the availability zone
 * @param incarnation the identifier of this run of the process, new with each start
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
