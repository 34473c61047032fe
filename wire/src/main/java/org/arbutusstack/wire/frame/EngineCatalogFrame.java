package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports to the process beside a runner what the engine may hold and the sizes of models and adapters.
 *
 * @param configVersion the version of the configuration from which the values are taken
 * @param runnerId the identifier of the runner's current incarnation
 * @param startedAtMillis when that incarnation started, in Unix milliseconds
 * @param memoryMb the memory for weights and adapters in MB
 * @param adapterSlots the maximum number of adapters held at the same time
 * @param modelMb the size of each model in MB, rounded up
 * @param adapterMb the size of an adapter of each model in MB, rounded up
 */
public record EngineCatalogFrame(
        long configVersion,
        String runnerId,
        long startedAtMillis,
        long memoryMb,
        int adapterSlots,
        Map<String, Integer> modelMb,
        Map<String, Integer> adapterMb)
        implements Frame {

    /** Copy the maps. */
    public EngineCatalogFrame {
        modelMb = Map.copyOf(modelMb);
        adapterMb = Map.copyOf(adapterMb);
    }

    static EngineCatalogFrame read(MessageUnpacker unpacker) throws IOException {
        return new EngineCatalogFrame(
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                Frames.unpackCounts(unpacker),
                Frames.unpackCounts(unpacker));
    }

    @Override
    public FrameType type() {
        return FrameType.ENGINE_CATALOG;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(configVersion);
        packer.packString(runnerId);
        packer.packLong(startedAtMillis);
        packer.packLong(memoryMb);
        packer.packInt(adapterSlots);
        Frames.packCounts(packer, modelMb);
        Frames.packCounts(packer, adapterMb);
    }
}
