package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/**
 * Message between two processes of the system.
 *
 * <p>Implementations are immutable.
 *
 * @see FrameCodec
 */
public sealed interface Frame
        permits ChallengeFrame,
                ProofFrame,
                HelloFrame,
                HeartbeatFrame,
                WorkFrame,
                ReceiptFrame,
                AnswerHeadFrame,
                AnswerPartFrame,
                RefusalFrame,
                CancelFrame,
                LogPullFrame,
                LogPushFrame,
                SnapshotPullFrame,
                SnapshotPushFrame,
                HostsFrame,
                PlanFrame,
                SideReportFrame,
                LoadFrame,
                StreamOriginFrame,
                StreamOriginRequestFrame,
                StrikeFrame,
                RunnerStatusFrame,
                EngineCatalogFrame,
                AdapterUseFrame,
                ModelOrderFrame,
                ModelDemandFrame,
                RequestSentFrame,
                LostRequestFrame,
                PermitRequestFrame,
                AllotmentRequestFrame,
                AllotmentGrantFrame,
                PermitFrame,
                StatusRequestFrame,
                RunnerOutcomeFrame,
                ProtocolErrorFrame {

    /**
     * Return the type of the frame.
     *
     * @return the frame type
     */
    FrameType type();

    /**
     * Write the fields of the frame, in the order in which its type reads them.
     *
     * @param packer the packer to write to
     * @throws IOException if writing fails
     */
    void write(MessagePacker packer) throws IOException;
}
