package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells the planner which models one entry has requests for.
 *
 * @param entry the entry's name
 * @param service the service
 * @param inFlight the requests in hand by model
 * @param waiting those of them that wait for a runner that holds the model
 */
public record ModelDemandFrame(
        String entry, String service, Map<String, Integer> inFlight, Map<String, Integer> waiting) implements Frame {

    /** Copies the maps. */
    public ModelDemandFrame {
        inFlight = Map.copyOf(inFlight);
        waiting = Map.copyOf(waiting);
    }

    static ModelDemandFrame read(MessageUnpacker unpacker) throws IOException {
        return new ModelDemandFrame(
                unpacker.unpackString(),
                unpacker.unpackString(),
                Frames.unpackCounts(unpacker),
                Frames.unpackCounts(unpacker));
    }

    @Override
    public FrameType type() {
        return FrameType.MODEL_DEMAND;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(entry);
        packer.packString(service);
        Frames.packCounts(packer, inFlight);
        Frames.packCounts(packer, waiting);
    }
}
