package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/**
 * Is one message between two processes of the system.
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
                StrikeFrame,
                RunnerStatusFrame,
                EngineCatalogFrame,
                AdapterUseFrame,
                ModelOrderFrame,
                ModelDemandFrame,
                RequestSentFrame,
                StatusRequestFrame,
                RunnerOutcomeFrame,
                ProtocolErrorFrame {

    /**
     * Tells the frame's type.
     *
     * @return the type
     */
    FrameType type();

    /**
     * Writes the frame's fields in order.
     *
     * @param packer where to write
     * @throws IOException if writing fails
     */
    void write(MessagePacker packer) throws IOException;
}
