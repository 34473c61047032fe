package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports to the planner for which models an entry has requests.
 *
 * @param entry the name of the entry
 * @param service the service
 * @param inFlight the number of requests in flight, by model
 * @param waiting the number of those requests that wait for a runner that holds the model, by model
 */
public record ModelDemandFrame(
        String entry, String service, Map<String, Integer> inFlight, Map<String, Integer> waiting) implements Frame {

    /** Copy the maps. */
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
