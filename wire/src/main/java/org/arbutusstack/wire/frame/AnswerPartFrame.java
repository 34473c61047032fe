package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that carries a part of the answer to a request.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from one
 * @param offset the number of units before this part: bytes of a plain answer, events of a streamed one
 * @param units the number of units in this part
 * @param bytes the bytes of this part; not copied
 * @param last whether this is the last part of the answer
 */
public record AnswerPartFrame(RequestId id, int attempt, long offset, int units, byte[] bytes, boolean last)
        implements Frame {

    static AnswerPartFrame read(MessageUnpacker unpacker) throws IOException {
        return new AnswerPartFrame(
                new RequestId(unpacker.unpackString(), unpacker.unpackLong()),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.readPayload(unpacker.unpackBinaryHeader()),
                unpacker.unpackBoolean());
    }

    @Override
    public FrameType type() {
        return FrameType.ANSWER_PART;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(id.incarnation()).packLong(id.number());
        packer.packInt(attempt);
        packer.packLong(offset);
        packer.packInt(units);
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
        packer.packBoolean(last);
    }
}
