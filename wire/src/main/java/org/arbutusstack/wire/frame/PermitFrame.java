package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that answers a {@link PermitRequestFrame}.
 *
 * @param server the incarnation of the backend server
 * @param waitMillis zero if one request may be sent now; else the time until a permit may be free, in milliseconds
 */
public record PermitFrame(String server, long waitMillis) implements Frame {

    static PermitFrame read(MessageUnpacker unpacker) throws IOException {
        return new PermitFrame(unpacker.unpackString(), unpacker.unpackLong());
    }

    /**
     * Return whether one request may be sent.
     *
     * @return whether the permit is granted
     */
    public boolean isGranted() {
        return waitMillis == 0;
    }

    @Override
    public FrameType type() {
        return FrameType.PERMIT;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(server);
        packer.packLong(waitMillis);
    }
}
