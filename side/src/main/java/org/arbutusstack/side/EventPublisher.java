package org.arbutusstack.side;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publisher of events to the ring of the side's event loop, which also handles each event that does not fit into a full
 * ring. Thread-safe, except for {@link #drainOverflow}, which is confined to the event loop.
 */
final class EventPublisher {

    private static final Logger logger = LoggerFactory.getLogger(EventPublisher.class);

    private final Ring<SideEvent> ring;

    private final WorkMetrics metrics;

    private final Queue<SideEvent> overflow = new ConcurrentLinkedQueue<>();

    EventPublisher(Ring<SideEvent> ring, WorkMetrics metrics) {
        this.ring = Assert.notNull(ring, "ring");
        this.metrics = Assert.notNull(metrics, "metrics");
    }

    /**
     * Publish an event. If the ring is full, a request is refused, an answer is broken off, a new link is closed, and
     * any other event is deferred to the next tick: no event is lost without an effect.
     */
    void offer(SideEvent event) {
        if (ring.offer(event)) {
            return;
        }
        if (event instanceof SideEvent.BackendBytes bytes) {
            breakAnswer(bytes.work());
        } else if (event instanceof SideEvent.BackendHead head) {
            breakAnswer(head.work());
        } else if (event instanceof SideEvent.FrameArrived arrived) {
            refuse(arrived);
        } else if (event instanceof SideEvent.LinkOpened opened) {
            opened.link().close();
        } else {
            defer(event);
        }
    }

    /**
     * Defer an event to the next tick. An answer whose end is deferred is broken off, as its events may be out of
     * order.
     */
    private void defer(SideEvent event) {
        if (event instanceof SideEvent.BackendEnded ended) {
            breakAnswer(ended.work());
        }
        overflow.add(event);
    }

    private void breakAnswer(WorkItem work) {
        if (!work.isBroken()) {
            logger.warn("event=side-ring-full broken_off={}", work.frame().id());
            metrics.answerBroken();
            work.markBroken();
        }
    }

    private void refuse(SideEvent.FrameArrived arrived) {
        if (arrived.frame() instanceof WorkFrame work) {
            metrics.refusedByFullRing();
            Refusal refusal = Refusal.notRun(RefusalReason.QUEUE_FULL, "the runner has too much to do");
            arrived.link().send(new RefusalFrame(work.id(), work.attempt(), refusal));
        }
    }

    /** Pass the deferred events to a handler. */
    void drainOverflow(Consumer<SideEvent> handler) {
        for (SideEvent event = overflow.poll(); event != null; event = overflow.poll()) {
            SideEvent next = event;
            IsolatedSteps.run("side", () -> handler.accept(next));
        }
    }
}
