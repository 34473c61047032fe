package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Asks a side to give a request up.
 *
 * @param id the request
 * @param attempt the attempt
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
