package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that confirms that a side has received a request.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from one
 */
public record ReceiptFrame(RequestId id, int attempt) implements Frame {

    static ReceiptFrame read(MessageUnpacker unpacker) throws IOException {
        return new ReceiptFrame(new RequestId(unpacker.unpackString(), unpacker.unpackLong()), unpacker.unpackInt());
    }

    @Override
    public FrameType type() {
        return FrameType.RECEIPT;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(id.incarnation()).packLong(id.number());
        packer.packInt(attempt);
    }
}
