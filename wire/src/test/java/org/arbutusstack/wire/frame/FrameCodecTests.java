package org.arbutusstack.wire.frame;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.wire.WireException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link FrameCodec}. */
public class FrameCodecTests {

    private static final RequestId ID = new RequestId("abc", 7);

    @DataProvider
    public Object[][] frames() {
        return new Object[][] {
            {new HelloFrame("side-1", HostRole.SIDE, "testi", "milano-fiera", "inc")},
            {new HeartbeatFrame(3, Digest.of("x"), true)},
            {new SnapshotPullFrame(Digest.of("x"), 65_536)},
            {new ReceiptFrame(ID, 2)},
            {new AnswerHeadFrame(ID, 2, 200, "application/json", "side-1", "v1", 9)},
            {new RefusalFrame(ID, 1, Refusal.notRun(RefusalReason.QUEUE_FULL, "full"))},
            {new CancelFrame(ID, 1)},
            {new LogPullFrame(5)},
            {
                new SideReportFrame(
                        1, 2, 3, 4, 5, 4, 6, 7, List.of("m@v1"), List.of("m@v0"), List.of(), Map.of("m", 3), false)
            },
            {new LoadFrame(4, 5, Map.of("m", 9))},
            {new ProtocolErrorFrame("bad")},
            {new LostRequestFrame(1_700_000_000_000L, 250, List.of("part:a", "request:b"))},
            {new PermitRequestFrame("i-1@1700000000000", 1.5, 120)},
            {new StreamOriginFrame("q1", Optional.of("v1"))},
            {new ModelDemandFrame("e", "s", Map.of("m", 3), Map.of("m", 2), Map.of("v1", Map.of("m", 1)))},
            {new StreamOriginFrame("q1", Optional.of(""))},
            {new StreamOriginFrame("q1", Optional.empty())},
            {new StreamOriginRequestFrame("q1")},
            {new PermitFrame("i-1@1700000000000", 420)},
            {new AllotmentRequestFrame("raven", "edge-1", 9, -7, 12_345, 3, 142_654, 142_654, 1 / 22.0, 3_000, 250, 150)
            },
            {new AllotmentRequestFrame("raven", "edge-1", 0, 0, 0, 3, 5, 0, 1, 0, 0, 0)},
            {new AllotmentGrantFrame("raven", 9, -7, 12_345, 2_500.5, 40, 900)}
        };
    }

    private static byte[] payloadOf(Frame frame) {
        ByteBuffer buffer = FrameCodec.encode(frame);
        byte[] payload = new byte[buffer.getInt()];
        buffer.get(payload);
        return payload;
    }

    @Test(dataProvider = "frames")
    public void shouldReadWhatWasWritten(Frame frame) {
        assertEquals(FrameCodec.decode(payloadOf(frame)), frame);
    }

    @Test(dataProvider = "frames")
    public void shouldRefuseWhenTruncated(Frame frame) {
        byte[] payload = payloadOf(frame);
        for (int length = 0; length < payload.length; length++) {
            byte[] truncated = Arrays.copyOf(payload, length);
            assertThrows(WireException.class, () -> FrameCodec.decode(truncated));
        }
    }

    /** Guards against strikes being lost while a fleet runs two versions. */
    @Test
    public void shouldReadStrikeThatEndsWhereThePreviousVersionEndedIt() {
        StrikeFrame strike = new StrikeFrame("part:a", "10.0.0.1 1", true, 1_000, 90, 70);
        byte[] payload = payloadOf(strike);
        assertEquals(FrameCodec.decode(payload), strike);
        byte[] previous = Arrays.copyOf(payload, payload.length - 2);
        assertEquals(FrameCodec.decode(previous), new StrikeFrame("part:a", "10.0.0.1 1", true, 1_000, 0, 0));
    }

    /** Guards against a pool that is ruined for all entries by one frame with a number that is none. */
    @Test
    public void shouldRefuseAllotmentRequestWhenNumberIsNotFinite() {
        byte[] payload = payloadOf(new AllotmentRequestFrame("a", "e", 1, 0, 0, 1, 5, 5, 1, 1, 0, 9));
        byte[] infinity = ByteBuffer.allocate(Double.BYTES)
                .putDouble(Double.POSITIVE_INFINITY)
                .array();
        System.arraycopy(infinity, 0, payload, payload.length - 2 * Double.BYTES - 2, Double.BYTES);
        assertThrows(WireException.class, () -> FrameCodec.decode(payload));
    }

    @Test
    public void shouldRefuseWhenTypeIsUnknown() {
        assertThrows(WireException.class, () -> FrameCodec.decode(new byte[] {99}));
    }
}
