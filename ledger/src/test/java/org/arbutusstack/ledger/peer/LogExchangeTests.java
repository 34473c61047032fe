package org.arbutusstack.ledger.peer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.HeartbeatFrame;
import org.arbutusstack.wire.frame.LogPullFrame;
import org.arbutusstack.wire.frame.LogPushFrame;
import org.arbutusstack.wire.link.Link;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link LogExchange} frame by frame. */
public class LogExchangeTests {

    private final TicketEntry entry = DisseminationTests.entry(1);

    private final Digest chain = Digest.ZERO.chain(entry.digest());

    private ManualClock clock;

    private LogReplica replica;

    private LogExchange exchange;

    private RecordingLink first;

    private RecordingLink second;

    @BeforeMethod
    public void start() {
        clock = new ManualClock(1);
        replica = new LogReplica();
        exchange = new LogExchange(replica, clock, 500);
        first = new RecordingLink();
        second = new RecordingLink();
        exchange.linkOpened(first);
        exchange.linkOpened(second);
        exchange.handleFrame(first, new HeartbeatFrame(1, chain, false));
        exchange.handleFrame(second, new HeartbeatFrame(1, chain, false));
    }

    @Test
    public void shouldPullOnceWhenSeveralPeersAreAhead() {
        assertEquals(first.pulls(), 1);
        assertEquals(second.pulls(), 0);
    }

    @Test
    public void shouldPullFromOtherPeerWhenFirstDoesNotRespond() {
        clock.advanceMillis(500);
        exchange.tick();
        assertEquals(second.pulls(), 1);
    }

    @Test
    public void shouldPullFromOtherPeerWhenFirstCloses() {
        exchange.linkClosed(first);
        assertEquals(second.pulls(), 1);
    }

    @Test
    public void shouldPullFromOtherPeerWhenFirstPushesWrongChain() {
        exchange.handleFrame(first, new LogPushFrame(0, List.of(JsonCodec.write(entry)), Digest.of("other")));
        assertEquals(replica.state().sequence(), 0);
        assertEquals(second.pulls(), 1);
        exchange.handleFrame(second, new LogPushFrame(0, List.of(JsonCodec.write(entry)), chain));
        assertEquals(replica.state().sequence(), 1);
    }

    @Test
    public void shouldPullFromOtherPeerWhenFirstPushesMalformedEntry() {
        exchange.handleFrame(first, new LogPushFrame(0, List.of(new byte[] {'{'}), chain));
        assertEquals(second.pulls(), 1);
    }

    @Test
    public void shouldConfirmOnlyWhenChainIsSame() {
        replica.append(0, List.of(entry), chain);
        exchange.handleFrame(first, new HeartbeatFrame(1, chain, false));
        exchange.handleFrame(second, new HeartbeatFrame(1, Digest.of("other"), false));
        assertEquals(exchange.confirmedSequence(first), 1);
        assertEquals(exchange.confirmedSequence(second), 0);
    }

    /** Records the frames sent. */
    private static final class RecordingLink implements Link {

        private final List<Frame> sent = new ArrayList<>();

        long pulls() {
            return sent.stream().filter(LogPullFrame.class::isInstance).count();
        }

        @Override
        public boolean send(Frame frame) {
            return sent.add(frame);
        }

        @Override
        public void close() {}

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public long lastReceivedAtNanos() {
            return 0;
        }

        @Override
        public String remote() {
            return "recording";
        }
    }
}
