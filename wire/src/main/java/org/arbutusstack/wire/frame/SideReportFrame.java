package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.List;
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
 * @param queued the requests that wait
 * @param running the requests that run
 * @param models the models ready, each as name and version joined by an at sign
 * @param adapters the adapters ready
 * @param leaving whether the side takes no new work
 */
public record SideReportFrame(
        long sequence,
        long planFence,
        long planSequence,
        long memorySizeMb,
        long memoryCommittedMb,
        int queued,
        int running,
        List<String> models,
        List<String> adapters,
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
                load.queued(),
                load.running(),
                models,
                adapters,
                leaving);
    }

    static SideReportFrame read(MessageUnpacker unpacker) throws IOException {
        return new SideReportFrame(
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                Frames.unpackStrings(unpacker),
                Frames.unpackStrings(unpacker),
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
        packer.packInt(queued);
        packer.packInt(running);
        Frames.packStrings(packer, models);
        Frames.packStrings(packer, adapters);
        packer.packBoolean(leaving);
    }
}
