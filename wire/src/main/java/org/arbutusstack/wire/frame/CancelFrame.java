package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that requests a side to cancel a request.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from one
 */
public record CancelFrame(RequestId id, int attempt) implements Frame {

    static CancelFrame read(MessageUnpacker unpacker) throws IOException {
        return new CancelFrame(new RequestId(unpacker.unpackString(), unpacker.unpackLong()), unpacker.unpackInt());
    }

    @Override
    public FrameType type() {
        return FrameType.CANCEL;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(id.incarnation()).packLong(id.number());
        packer.packInt(attempt);
    }
}
