package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that tells at which version of a backend server's software a stream has begun: from an entry to a side that is
 * to remember it, and from that side to an entry that asks.
 *
 * @param requestId the identifier of the request that brought the first event of the stream
 * @param version the version; empty if the side does not know the stream
 */
public record StreamOriginFrame(String requestId, Optional<String> version) implements Frame {

    /** Check the components. */
    public StreamOriginFrame {
        Assert.notNull(requestId, "requestId");
        Assert.notNull(version, "version");
    }

    static StreamOriginFrame read(MessageUnpacker unpacker) throws IOException {
        String requestId = unpacker.unpackString();
        boolean isKnown = unpacker.unpackBoolean();
        return new StreamOriginFrame(requestId, isKnown ? Optional.of(unpacker.unpackString()) : Optional.empty());
    }

    @Override
    public FrameType type() {
        return FrameType.STREAM_ORIGIN;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(requestId);
        packer.packBoolean(version.isPresent());
        if (version.isPresent()) {
            packer.packString(version.get());
        }
    }
}
