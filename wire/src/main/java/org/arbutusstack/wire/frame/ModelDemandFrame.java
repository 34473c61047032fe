package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.HashMap;
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
 * @param waitingByVersion the number of those waiting requests whose streams go on at one version of the software only,
 *     by version and model
 */
public record ModelDemandFrame(
        String entry,
        String service,
        Map<String, Integer> inFlight,
        Map<String, Integer> waiting,
        Map<String, Map<String, Integer>> waitingByVersion)
        implements Frame {

    /** Copy the maps. */
    public ModelDemandFrame {
        inFlight = Map.copyOf(inFlight);
        waiting = Map.copyOf(waiting);
        Map<String, Map<String, Integer>> copy = new HashMap<>();
        waitingByVersion.forEach((version, models) -> copy.put(version, Map.copyOf(models)));
        waitingByVersion = Map.copyOf(copy);
    }

    /** Create a report in which no request is bound to a version. */
    public ModelDemandFrame(String entry, String service, Map<String, Integer> inFlight, Map<String, Integer> waiting) {
        this(entry, service, inFlight, waiting, Map.of());
    }

    static ModelDemandFrame read(MessageUnpacker unpacker) throws IOException {
        return new ModelDemandFrame(
                unpacker.unpackString(),
                unpacker.unpackString(),
                Frames.unpackCounts(unpacker),
                Frames.unpackCounts(unpacker),
                unpackVersions(unpacker));
    }

    private static Map<String, Map<String, Integer>> unpackVersions(MessageUnpacker unpacker) throws IOException {
        Map<String, Map<String, Integer>> versions = new HashMap<>();
        int size = unpacker.unpackMapHeader();
        for (int index = 0; index < size; index++) {
            versions.put(unpacker.unpackString(), Frames.unpackCounts(unpacker));
        }
        return versions;
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
        packer.packMapHeader(waitingByVersion.size());
        for (Map.Entry<String, Map<String, Integer>> version : waitingByVersion.entrySet()) {
            packer.packString(version.getKey());
            Frames.packCounts(packer, version.getValue());
        }
    }
}
