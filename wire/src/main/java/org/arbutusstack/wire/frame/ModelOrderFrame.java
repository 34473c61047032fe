package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that orders the process beside a runner to load a model, after unloading others to free memory.
 *
 * @param fence the fencing token of the planner's lease; orders with a lower token than the last one are ignored
 * @param sequence the number of the order under that fencing token
 * @param startedAtMillis when the addressed incarnation of the runner started, in Unix milliseconds
 * @param validMillis how long execution of the order may still be started, in milliseconds
 * @param load the model to load
 * @param unload the models to unload first, in that order
 */
public record ModelOrderFrame(
        long fence, long sequence, long startedAtMillis, long validMillis, String load, List<String> unload)
        implements Frame {

    /** Copy the list. */
    public ModelOrderFrame {
        unload = List.copyOf(unload);
    }

    static ModelOrderFrame read(MessageUnpacker unpacker) throws IOException {
        return new ModelOrderFrame(
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                Frames.unpackStrings(unpacker));
    }

    @Override
    public FrameType type() {
        return FrameType.MODEL_ORDER;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(fence);
        packer.packLong(sequence);
        packer.packLong(startedAtMillis);
        packer.packLong(validMillis);
        packer.packString(load);
        Frames.packStrings(packer, unload);
    }
}
