package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells the process beside a runner that a request uses an adapter there, or waits for it.
 *
 * @param model the model
 * @param adapter the adapter
 */
public record AdapterUseFrame(String model, String adapter) implements Frame {

    static AdapterUseFrame read(MessageUnpacker unpacker) throws IOException {
        return new AdapterUseFrame(unpacker.unpackString(), unpacker.unpackString());
    }

    @Override
    public FrameType type() {
        return FrameType.ADAPTER_USE;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(model);
        packer.packString(adapter);
    }
}
