package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that carries a plan.
 *
 * @param plan the plan, encoded in JSON; not copied
 */
public record PlanFrame(byte[] plan) implements Frame {

    static PlanFrame read(MessageUnpacker unpacker) throws IOException {
        return new PlanFrame(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public FrameType type() {
        return FrameType.PLAN;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packBinaryHeader(plan.length).writePayload(plan);
    }
}
