package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reports what a side holds and how much work waits there.
 *
 * @param sequence the log sequence in force at the side
 * @param planFence the fence of the plan adopted
 * @param planSequence the sequence of the plan adopted
 * @param memorySizeMb the accelerator memory, in mebibytes
 * @param memoryCommittedMb the accelerator memory committed, in mebibytes
 * @param modelsMb the part of it committed to models, in mebibytes
 * @param queued the requests that wait
 * @param running the requests that run
 * @param models the models ready, each as name and version joined by an at sign
 * @param otherModels the models that take memory but are not offered: loading, in doubt or to be unloaded
 * @param adapters the adapters ready
 * @param demand the requests waiting or running by model
 * @param leaving whether the side takes no new work
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
     * Replaces the load.
     *
     * @param load the load
     * @return the report with that load
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
