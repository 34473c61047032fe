package org.arbutusstack.side;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Ring;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Offers events to the side's ring and gives each that the full ring cannot take an outcome. Safe for use by any
 * thread, but for {@link #drainOverflow}, which the side's duty calls.
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

    /** Offers an event to the duty; what a full ring cannot take is refused, broken off or kept, never lost unseen. */
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

    /** Keeps an event for the next tick; an answer whose end comes so may have lost its order and is broken off. */
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

    /** Hands on the events that the ring could not take. */
    void drainOverflow(Consumer<SideEvent> handler) {
        SideEvent event = overflow.poll();
        while (event != null) {
            handler.accept(event);
            event = overflow.poll();
        }
    }
}
