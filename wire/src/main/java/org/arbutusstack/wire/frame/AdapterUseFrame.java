package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that notifies the process beside a runner that a request uses an adapter on the runner, or waits for it.
 *
 * @param model the name of the model
 * @param adapter the name of the adapter
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
