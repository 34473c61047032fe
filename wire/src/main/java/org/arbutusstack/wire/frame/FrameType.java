package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageUnpacker;

/** Tells the types of frame; each constant knows its code on the wire and reads its frames. */
public enum FrameType {
    /** See {@link ChallengeFrame}. */
    CHALLENGE(40, ChallengeFrame::read),
    /** See {@link ProofFrame}. */
    PROOF(41, ProofFrame::read),
    /** See {@link HelloFrame}. */
    HELLO(1, HelloFrame::read),
    /** See {@link HeartbeatFrame}. */
    HEARTBEAT(2, HeartbeatFrame::read),
    /** See {@link WorkFrame}. */
    WORK(3, WorkFrame::read),
    /** See {@link ReceiptFrame}. */
    RECEIPT(4, ReceiptFrame::read),
    /** See {@link AnswerHeadFrame}. */
    ANSWER_HEAD(5, AnswerHeadFrame::read),
    /** See {@link AnswerPartFrame}. */
    ANSWER_PART(6, AnswerPartFrame::read),
    /** See {@link RefusalFrame}. */
    REFUSAL(7, RefusalFrame::read),
    /** See {@link CancelFrame}. */
    CANCEL(8, CancelFrame::read),
    /** See {@link LogPullFrame}. */
    LOG_PULL(9, LogPullFrame::read),
    /** See {@link LogPushFrame}. */
    LOG_PUSH(10, LogPushFrame::read),
    /** See {@link SnapshotPullFrame}. */
    SNAPSHOT_PULL(50, SnapshotPullFrame::read),
    /** See {@link SnapshotPushFrame}. */
    SNAPSHOT_PUSH(51, SnapshotPushFrame::read),
    /** See {@link HostsFrame}. */
    HOSTS(52, HostsFrame::read),
    /** See {@link PlanFrame}. */
    PLAN(11, PlanFrame::read),
    /** See {@link SideReportFrame}. */
    SIDE_REPORT(12, SideReportFrame::read),
    /** See {@link LoadFrame}. */
    LOAD(20, LoadFrame::read),
    /** See {@link ProtocolErrorFrame}. */
    PROTOCOL_ERROR(13, ProtocolErrorFrame::read),
    /** See {@link StrikeFrame}. */
    STRIKE(42, StrikeFrame::read),

    /** What is known of a runner, from the process beside it. */
    RUNNER_STATUS(60, RunnerStatusFrame::read),

    /** What a runner's engine may hold. */
    ENGINE_CATALOG(61, EngineCatalogFrame::read),

    /** An adapter is used or waited for. */
    ADAPTER_USE(62, AdapterUseFrame::read),

    /** A model is to be loaded. */
    MODEL_ORDER(63, ModelOrderFrame::read),

    /** The models that an entry has requests for. */
    MODEL_DEMAND(64, ModelDemandFrame::read),

    /** A runner's status is wanted at once. */
    STATUS_REQUEST(65, StatusRequestFrame::read),

    /** How a request ended at a runner. */
    RUNNER_OUTCOME(66, RunnerOutcomeFrame::read),

    /** A request was sent to a runner. */
    REQUEST_SENT(67, RequestSentFrame::read);

    private final int code;

    private final FrameReader reader;

    FrameType(int code, FrameReader reader) {
        this.code = code;
        this.reader = reader;
    }

    /**
     * Tells the code on the wire.
     *
     * @return the code
     */
    public int code() {
        return code;
    }

    Frame read(MessageUnpacker unpacker) throws IOException {
        return reader.read(unpacker);
    }

    /**
     * Finds the type of a code.
     *
     * @param code the code
     * @return the type, or empty if there is none
     */
    public static Optional<FrameType> ofCode(int code) {
        for (FrameType type : values()) {
            if (type.code == code) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }

    /** Reads the fields of one type of frame. */
    private interface FrameReader {

        Frame read(MessageUnpacker unpacker) throws IOException;
    }
}
