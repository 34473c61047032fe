package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that starts the answer to a request with its status and content type.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from one
 * @param status the HTTP status
 * @param contentType the content type of the answer
 * @param runner the name of the runner that answers
 * @param modelVersion the version of the model that answers; empty for a plain service
 * @param sequence the log sequence in force at the side
 */
public record AnswerHeadFrame(
        RequestId id, int attempt, int status, String contentType, String runner, String modelVersion, long sequence)
        implements Frame {

    static AnswerHeadFrame read(MessageUnpacker unpacker) throws IOException {
        return new AnswerHeadFrame(
                new RequestId(unpacker.unpackString(), unpacker.unpackLong()),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackLong());
    }

    @Override
    public FrameType type() {
        return FrameType.ANSWER_HEAD;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(id.incarnation()).packLong(id.number());
        packer.packInt(attempt);
        packer.packInt(status);
        packer.packString(contentType);
        packer.packString(runner);
        packer.packString(modelVersion);
        packer.packLong(sequence);
    }
}
