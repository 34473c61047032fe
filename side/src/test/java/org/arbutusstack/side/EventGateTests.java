package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.side.WorkDeskFixture.FakeLink;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.wire.frame.WorkFrame;
import org.testng.annotations.Test;

/** Tests that each event that a full ring cannot take has an outcome. */
public class EventGateTests {

    private final EventGate gate = new EventGate(new FullRing(), new WorkMetrics(new PrometheusRegistry()));

    private final FakeLink link = new FakeLink();

    private final WorkFrame frame = WorkDeskFixture.frame(1, 1, 1_000, Priority.NORMAL);

    private final Work work = new Work(frame, link, 1);

    private List<SideEvent> kept() {
        List<SideEvent> kept = new ArrayList<>();
        gate.takeOverflow(kept::add);
        return kept;
    }

    @Test
    public void shouldRefuseRequestWhenRingIsFull() {
        gate.offer(new SideEvent.FrameArrived(link, frame));
        assertEquals(link.refusals(), List.of("1 NOT_RUN QUEUE_FULL"));
    }

    @Test
    public void shouldBreakAnswerOffWhenRingIsFull() {
        boolean[] cancelled = new boolean[1];
        work.sent(() -> cancelled[0] = true);
        gate.offer(new SideEvent.BackendBytes(work, new byte[1]));
        assertTrue(work.isBroken() && cancelled[0]);
    }

    @Test
    public void shouldNotLetAnswerLookWholeWhenItsEndIsKept() {
        Work other = new Work(frame, link, 1);
        gate.offer(new SideEvent.BackendEnded(other));
        assertTrue(other.isBroken());
        assertEquals(kept().size(), 1);
    }

    @Test
    public void shouldKeepWhatMustNotBeLostWhenRingIsFull() {
        gate.offer(new SideEvent.ClaimSettled(work, new ClaimResult.Granted()));
        gate.offer(new SideEvent.LinkClosed(link));
        gate.offer(new SideEvent.DrainBegun());
        assertEquals(kept().size(), 3);
        assertEquals(kept().size(), 0);
    }

    @Test
    public void shouldCloseLinkWhenItsOpeningIsLost() {
        FakeLink opened = new FakeLink();
        gate.offer(new SideEvent.LinkOpened(opened));
        assertFalse(opened.isOpen());
    }

    /** Takes nothing. */
    private static final class FullRing implements Ring<SideEvent> {

        @Override
        public boolean offer(SideEvent message) {
            return false;
        }

        @Override
        public int depth() {
            return 1;
        }

        @Override
        public int capacity() {
            return 1;
        }
    }
}
