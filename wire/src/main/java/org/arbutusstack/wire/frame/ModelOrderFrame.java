package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Asks the process beside a runner to have a model loaded, after others have made room.
 *
 * @param fence the fencing number of the planner's lease; those with a lower one than the last are passed over
 * @param sequence the number of the order under that fence
 * @param startedAtMillis the incarnation of the runner that is meant, in Unix milliseconds
 * @param validMillis how long the order may be begun, in milliseconds
 * @param load the model to load
 * @param unload the models to unload first, in this order
 */
public record ModelOrderFrame(
        long fence, long sequence, long startedAtMillis, long validMillis, String load, List<String> unload)
        implements Frame {

    /** Copies the list. */
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
