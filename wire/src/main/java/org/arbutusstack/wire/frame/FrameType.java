package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageUnpacker;

/** Types of frames, each with its code on the wire and the decoder of its fields. */
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

    /** See {@link RunnerStatusFrame}. */
    RUNNER_STATUS(60, RunnerStatusFrame::read),

    /** See {@link EngineCatalogFrame}. */
    ENGINE_CATALOG(61, EngineCatalogFrame::read),

    /** See {@link AdapterUseFrame}. */
    ADAPTER_USE(62, AdapterUseFrame::read),

    /** See {@link ModelOrderFrame}. */
    MODEL_ORDER(63, ModelOrderFrame::read),

    /** See {@link ModelDemandFrame}. */
    MODEL_DEMAND(64, ModelDemandFrame::read),

    /** See {@link StatusRequestFrame}. */
    STATUS_REQUEST(65, StatusRequestFrame::read),

    /** See {@link RunnerOutcomeFrame}. */
    RUNNER_OUTCOME(66, RunnerOutcomeFrame::read),

    /** See {@link RequestSentFrame}. */
    REQUEST_SENT(67, RequestSentFrame::read),

    /** See {@link LostRequestFrame}. */
    LOST_REQUEST(68, LostRequestFrame::read),

    /** See {@link PermitRequestFrame}. */
    PERMIT_REQUEST(69, PermitRequestFrame::read),

    /** See {@link PermitFrame}. */
    PERMIT(70, PermitFrame::read),

    /** See {@link AllotmentRequestFrame}. */
    ALLOTMENT_REQUEST(71, AllotmentRequestFrame::read),

    /** See {@link AllotmentGrantFrame}. */
    ALLOTMENT_GRANT(72, AllotmentGrantFrame::read),

    /** See {@link StreamOriginFrame}. */
    STREAM_ORIGIN(73, StreamOriginFrame::read),

    /** See {@link StreamOriginRequestFrame}. */
    STREAM_ORIGIN_REQUEST(74, StreamOriginRequestFrame::read);

    private final int code;

    private final FrameReader reader;

    FrameType(int code, FrameReader reader) {
        this.code = code;
        this.reader = reader;
    }

    /**
     * Return the code of the type on the wire.
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
     * Find the type with a code.
     *
     * @param code the code on the wire
     * @return the type, or empty if there is none
     */
    public static Optional<FrameType> fromCode(int code) {
        for (FrameType type : values()) {
            if (type.code == code) {
                return Optional.of(type);
            }
        }
        return Optional.empty();
    }

    /** Strategy interface for decoding the fields of one type of frame. */
    private interface FrameReader {

        Frame read(MessageUnpacker unpacker) throws IOException;
    }
}
