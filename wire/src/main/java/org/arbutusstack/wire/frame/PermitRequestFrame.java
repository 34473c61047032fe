package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.Assert;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame with which an entry asks for the permit to send one request to a backend server that limits its requests.
 *
 * @param server the incarnation of the server
 * @param requestsPerSecond the requests that the server takes from all entries together, as the entry knows
 * @param namedAgoMillis how long ago the server named that limit to the entry, in milliseconds
 */
public record PermitRequestFrame(String server, double requestsPerSecond, long namedAgoMillis) implements Frame {

    /** Check the limit. */
    public PermitRequestFrame {
        Assert.isTrue(
                requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
                "'requestsPerSecond' must be positive but it is " + requestsPerSecond);
    }

    static PermitRequestFrame read(MessageUnpacker unpacker) throws IOException {
        return new PermitRequestFrame(unpacker.unpackString(), unpacker.unpackDouble(), unpacker.unpackLong());
    }

    @Override
    public FrameType type() {
        return FrameType.PERMIT_REQUEST;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(server);
        packer.packDouble(requestsPerSecond);
        packer.packLong(namedAgoMillis);
    }
}
