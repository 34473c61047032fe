package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that notifies the process beside a runner that a request has been sent to the runner, so that other entries
 * know of its prompt before the runner reports it.
 *
 * @param startedAtMillis when the runner started, in Unix milliseconds; identifies its incarnation
 * @param promptTokens the number of tokens of the prompt
 */
public record RequestSentFrame(long startedAtMillis, int promptTokens) implements Frame {

    static RequestSentFrame read(MessageUnpacker unpacker) throws IOException {
        return new RequestSentFrame(unpacker.unpackLong(), unpacker.unpackInt());
    }

    @Override
    public FrameType type() {
        return FrameType.REQUEST_SENT;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(startedAtMillis);
        packer.packInt(promptTokens);
    }
}
