package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells what the process beside a runner has just read of it.
 *
 * @param startedAtMillis when the runner started, in Unix milliseconds; tells its incarnations apart
 * @param orderSequence the orders that the runner has accepted since then
 * @param takesWork whether it takes new requests
 * @param remainingMillis the time until it is taken away, negative if that is not announced
 * @param queued the requests without a first event, whether they wait or their prompts are being read
 * @param running the requests that run there
 * @param usedTokens the tokens in memory that cannot yield
 * @param capacityTokens the tokens that fit in memory
 * @param models the models that it holds
 * @param pendingAdapters the adapters on their way, as model, slash, adapter
 * @param storedCopies the models of which a copy lies at the runner outside accelerator memory, with the rank of where:
 *     1 in main memory, 2 on disk
 * @param loadingModel the model that the last order asked for and that is not there yet; empty for none
 * @param inDoubt whether requests of any entry have failed there of late, so that others are to be preferred
 * @param entries the entries linked to the side
 * @param nextWithinMillis the longest time until the next status, if the host lives
 * @param promptTokens the tokens of the prompts that entries have sent to the runner within the last moments
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

    /** Copies the collections. */
    public RunnerStatusFrame {
        models = List.copyOf(models);
        pendingAdapters = List.copyOf(pendingAdapters);
        storedCopies = Map.copyOf(storedCopies);
    }

    /**
     * Names a model that a runner holds.
     *
     * @param name the model's name
     * @param version the version of its weights
     * @param adapters the adapters of it that are ready
     */
    public record HeldModel(String name, long version, List<String> adapters) {

        /** Copies the list. */
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
     * Tells that the runner takes no requests, since it does not answer.
     *
     * @return the status with that
     */
    public RunnerStatusFrame asUnavailable() {
        return with(false, queued, inDoubt, promptTokens);
    }

    /**
     * Counts requests that are on their way to the runner as queued there.
     *
     * @param count their number
     * @param tokens the tokens of the prompts that were sent within the last moments
     * @param inDoubtNow whether other runners are to be preferred for the next request
     * @return the status with them
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
