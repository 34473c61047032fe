package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells the process beside a runner how a request ended there.
 *
 * @param startedAtMillis when the runner started, in Unix milliseconds; tells its incarnations apart
 * @param failed whether the runner failed it
 */
public record RunnerOutcomeFrame(long startedAtMillis, boolean failed) implements Frame {

    static RunnerOutcomeFrame read(MessageUnpacker unpacker) throws IOException {
        return new RunnerOutcomeFrame(unpacker.unpackLong(), unpacker.unpackBoolean());
    }

    @Override
    public FrameType type() {
        return FrameType.RUNNER_OUTCOME;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(startedAtMillis);
        packer.packBoolean(failed);
    }
}
