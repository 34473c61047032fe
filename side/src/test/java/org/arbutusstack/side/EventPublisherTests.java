package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.side.WorkDispatcherFixture.FakeLink;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.wire.frame.WorkFrame;
import org.testng.annotations.Test;

/** Tests that each event that does not fit into a full ring has an effect and is not lost. */
public class EventPublisherTests {

    private final EventPublisher publisher =
            new EventPublisher(new FullRing(), new WorkMetrics(new PrometheusRegistry()));

    private final FakeLink link = new FakeLink();

    private final WorkFrame frame = WorkDispatcherFixture.frame(1, 1, 1_000, Priority.NORMAL);

    private final WorkItem work = new WorkItem(frame, link, 1);

    private List<SideEvent> drainDeferred() {
        List<SideEvent> deferred = new ArrayList<>();
        publisher.drainOverflow(deferred::add);
        return deferred;
    }

    @Test
    public void shouldRefuseRequestWhenRingIsFull() {
        publisher.offer(new SideEvent.FrameArrived(link, frame));
        assertEquals(link.refusals(), List.of("1 NOT_RUN QUEUE_FULL"));
    }

    @Test
    public void shouldMarkAnswerBrokenAndCancelItWhenRingIsFull() {
        boolean[] cancelled = new boolean[1];
        work.markSent(() -> cancelled[0] = true);
        publisher.offer(new SideEvent.BackendBytes(work, new byte[1]));
        assertTrue(work.isBroken() && cancelled[0]);
    }

    @Test
    public void shouldMarkAnswerBrokenWhenItsEndIsDeferred() {
        WorkItem other = new WorkItem(frame, link, 1);
        publisher.offer(new SideEvent.BackendEnded(other));
        assertTrue(other.isBroken());
        assertEquals(drainDeferred().size(), 1);
    }

    @Test
    public void shouldDeferCriticalEventsWhenRingIsFull() {
        publisher.offer(new SideEvent.ClaimSettled(work, new ClaimResult.Granted()));
        publisher.offer(new SideEvent.LinkClosed(link));
        publisher.offer(new SideEvent.DrainStarted());
        assertEquals(drainDeferred().size(), 3);
        assertEquals(drainDeferred().size(), 0);
    }

    @Test
    public void shouldCloseLinkWhenItsOpenEventIsLost() {
        FakeLink opened = new FakeLink();
        publisher.offer(new SideEvent.LinkOpened(opened));
        assertFalse(opened.isOpen());
    }

    /** Ring that accepts no message. */
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
