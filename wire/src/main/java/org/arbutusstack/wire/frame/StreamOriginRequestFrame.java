package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.Assert;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame with which an entry asks a side at which version a stream has begun; answered by a {@link StreamOriginFrame}.
 *
 * @param requestId the identifier of the request that brought the first event of the stream
 */
public record StreamOriginRequestFrame(String requestId) implements Frame {

    /** Check the identifier. */
    public StreamOriginRequestFrame {
        Assert.notNull(requestId, "requestId");
    }

    static StreamOriginRequestFrame read(MessageUnpacker unpacker) throws IOException {
        return new StreamOriginRequestFrame(unpacker.unpackString());
    }

    @Override
    public FrameType type() {
        return FrameType.STREAM_ORIGIN_REQUEST;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(requestId);
    }
}
