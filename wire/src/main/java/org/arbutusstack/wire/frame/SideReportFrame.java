package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports what a side holds and its load.
 *
 * @param sequence the log sequence in force at the side
 * @param planFence the fencing token of the adopted plan
 * @param planSequence the sequence of the adopted plan
 * @param memorySizeMb the size of the accelerator memory, in mebibytes
 * @param memoryCommittedMb the committed accelerator memory, in mebibytes
 * @param modelsMb the part of the committed memory that models use, in mebibytes
 * @param queued the number of requests that wait
 * @param running the number of requests that run
 * @param models the models that are ready, each as the name and the version joined by an at sign
 * @param otherModels the models that use memory but serve no requests: those loading, in an uncertain state or to be
 *     unloaded
 * @param adapters the adapters that are ready
 * @param demand the number of requests waiting or running, by model
 * @param leaving whether the side is draining and accepts no new work
 */
public record SideReportFrame(
        long sequence,
        long planFence,
        long planSequence,
        long memorySizeMb,
        long memoryCommittedMb,
        long modelsMb,
        int queued,
        int running,
        List<String> models,
        List<String> otherModels,
        List<String> adapters,
        Map<String, Integer> demand,
        boolean leaving)
        implements Frame {

    /**
     * Return a copy of this report with another load.
     *
     * @param load the load to report
     * @return the modified copy
     */
    public SideReportFrame withLoad(LoadFrame load) {
        return new SideReportFrame(
                sequence,
                planFence,
                planSequence,
                memorySizeMb,
                memoryCommittedMb,
                modelsMb,
                load.queued(),
                load.running(),
                models,
                otherModels,
                adapters,
                load.demand(),
                leaving);
    }

    static SideReportFrame read(MessageUnpacker unpacker) throws IOException {
        return new SideReportFrame(
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                Frames.unpackStrings(unpacker),
                Frames.unpackStrings(unpacker),
                Frames.unpackStrings(unpacker),
                Frames.unpackCounts(unpacker),
                unpacker.unpackBoolean());
    }

    @Override
    public FrameType type() {
        return FrameType.SIDE_REPORT;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(sequence);
        packer.packLong(planFence);
        packer.packLong(planSequence);
        packer.packLong(memorySizeMb);
        packer.packLong(memoryCommittedMb);
        packer.packLong(modelsMb);
        packer.packInt(queued);
        packer.packInt(running);
        Frames.packStrings(packer, models);
        Frames.packStrings(packer, otherModels);
        Frames.packStrings(packer, adapters);
        Frames.packCounts(packer, demand);
        packer.packBoolean(leaving);
    }
}
