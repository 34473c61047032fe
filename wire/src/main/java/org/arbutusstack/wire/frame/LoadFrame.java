package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports the load of a side when nothing else in its report has changed.
 *
 * @param queued the number of requests that wait
 * @param running the number of requests that run
 * @param demand the number of requests waiting or running, by model
 */
public record LoadFrame(int queued, int running, Map<String, Integer> demand) implements Frame {

    static LoadFrame read(MessageUnpacker unpacker) throws IOException {
        return new LoadFrame(unpacker.unpackInt(), unpacker.unpackInt(), Frames.unpackCounts(unpacker));
    }

    @Override
    public FrameType type() {
        return FrameType.LOAD;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packInt(queued);
        packer.packInt(running);
        Frames.packCounts(packer, demand);
    }
}
