package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports to the process beside a runner that the connection of a request broke before its answer was
 * complete.
 *
 * @param startedAtMillis when the runner started, in Unix milliseconds; identifies its incarnation
 * @param sentAgoMillis how long ago the request was sent, in milliseconds
 * @param keys the keys of the request's content
 */
public record LostRequestFrame(long startedAtMillis, long sentAgoMillis, List<String> keys) implements Frame {

    /** Copy the keys. */
    public LostRequestFrame {
        keys = List.copyOf(keys);
    }

    static LostRequestFrame read(MessageUnpacker unpacker) throws IOException {
        return new LostRequestFrame(unpacker.unpackLong(), unpacker.unpackLong(), Frames.unpackStrings(unpacker));
    }

    @Override
    public FrameType type() {
        return FrameType.LOST_REQUEST;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(startedAtMillis);
        packer.packLong(sentAgoMillis);
        Frames.packStrings(packer, keys);
    }
}
