package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports the status of a runner as the process beside it has just read it.
 *
 * @param startedAtMillis when the runner started, in Unix milliseconds; identifies its incarnation
 * @param orderSequence the number of orders that the runner has accepted since it started
 * @param takesWork whether the runner accepts new requests
 * @param remainingMillis the time until the runner is removed, in milliseconds; negative if no removal is announced
 * @param queued the number of requests without a first event, whether they wait or their prompts are being processed
 * @param running the number of requests that run on the runner
 * @param usedTokens the number of tokens in memory that cannot be evicted
 * @param capacityTokens the number of tokens that fit in memory
 * @param models the models that the runner holds
 * @param pendingAdapters the adapters being loaded, each as the model and the adapter joined by a slash
 * @param storedCopies the models whose weights the runner has outside accelerator memory, with the rank of the
 *     location: 1 in main memory, 2 on disk
 * @param loadingModel the model that the last order requested and that is not loaded yet; empty for none
 * @param inDoubt whether requests of any entry have recently failed on the runner, so that other runners are preferred
 * @param entries the number of entries linked to the side
 * @param nextWithinMillis the maximum time until the next status if the host is alive, in milliseconds
 * @param promptTokens the number of tokens of the prompts that entries have recently sent to the runner
 */
public record RunnerStatusFrame(
        long startedAtMillis,
        long orderSequence,
        boolean takesWork,
        long remainingMillis,
        int queued,
        int running,
        long usedTokens,
        long capacityTokens,
        List<HeldModel> models,
        List<String> pendingAdapters,
        Map<String, Integer> storedCopies,
        String loadingModel,
        boolean inDoubt,
        int entries,
        long nextWithinMillis,
        long promptTokens)
        implements Frame {

    /** Copy the collections. */
    public RunnerStatusFrame {
        models = List.copyOf(models);
        pendingAdapters = List.copyOf(pendingAdapters);
        storedCopies = Map.copyOf(storedCopies);
    }

    /**
     * Model that a runner holds.
     *
     * @param name the name of the model
     * @param version the version of its weights
     * @param adapters the adapters of the model that are ready
     */
    public record HeldModel(String name, long version, List<String> adapters) {

        /** Copy the list. */
        public HeldModel {
            adapters = List.copyOf(adapters);
        }
    }

    static RunnerStatusFrame read(MessageUnpacker unpacker) throws IOException {
        return new RunnerStatusFrame(
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackBoolean(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                readModels(unpacker),
                Frames.unpackStrings(unpacker),
                Frames.unpackCounts(unpacker),
                unpacker.unpackString(),
                unpacker.unpackBoolean(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }

    /**
     * Return a copy of this status with the runner marked as not accepting requests, for a runner that does not
     * respond.
     *
     * @return the modified copy
     */
    public RunnerStatusFrame asUnavailable() {
        return with(false, queued, inDoubt, promptTokens);
    }

    /**
     * Return a copy of this status in which the requests on their way to the runner count as queued.
     *
     * @param count the number of requests on their way
     * @param tokens the number of tokens of the prompts that were recently sent
     * @param inDoubtNow whether other runners are preferred for the next request
     * @return the modified copy
     */
    public RunnerStatusFrame withInFlight(int count, long tokens, boolean inDoubtNow) {
        return with(takesWork, queued + count, inDoubtNow, tokens);
    }

    private RunnerStatusFrame with(boolean takesWorkNow, int queuedNow, boolean inDoubtNow, long tokens) {
        return new RunnerStatusFrame(
                startedAtMillis,
                orderSequence,
                takesWorkNow,
                remainingMillis,
                queuedNow,
                running,
                usedTokens,
                capacityTokens,
                models,
                pendingAdapters,
                storedCopies,
                loadingModel,
                inDoubtNow,
                entries,
                nextWithinMillis,
                tokens);
    }

    private static List<HeldModel> readModels(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<HeldModel> models = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            models.add(new HeldModel(unpacker.unpackString(), unpacker.unpackLong(), Frames.unpackStrings(unpacker)));
        }
        return models;
    }

    @Override
    public FrameType type() {
        return FrameType.RUNNER_STATUS;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packLong(startedAtMillis);
        packer.packLong(orderSequence);
        packer.packBoolean(takesWork);
        packer.packLong(remainingMillis);
        packer.packInt(queued);
        packer.packInt(running);
        packer.packLong(usedTokens);
        packer.packLong(capacityTokens);
        packer.packArrayHeader(models.size());
        for (HeldModel model : models) {
            packer.packString(model.name());
            packer.packLong(model.version());
            Frames.packStrings(packer, model.adapters());
        }
        Frames.packStrings(packer, pendingAdapters);
        Frames.packCounts(packer, storedCopies);
        packer.packString(loadingModel);
        packer.packBoolean(inDoubt);
        packer.packInt(entries);
        packer.packLong(nextWithinMillis);
        packer.packLong(promptTokens);
    }
}
