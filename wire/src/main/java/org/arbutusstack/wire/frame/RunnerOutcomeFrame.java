package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports to the process beside a runner how a request ended on the runner.
 *
 * @param startedAtMillis when the runner started, in Unix milliseconds; identifies its incarnation
 * @param failed whether the request failed on the runner
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
