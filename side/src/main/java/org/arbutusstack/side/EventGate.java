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
 * thread, but for {@link #takeOverflow}, which the side's duty calls.
 */
final class EventGate {

    private static final Logger logger = LoggerFactory.getLogger(EventGate.class);

    private final Ring<SideEvent> ring;

    private final WorkMetrics metrics;

    private final Queue<SideEvent> overflow = new ConcurrentLinkedQueue<>();

    EventGate(Ring<SideEvent> ring, WorkMetrics metrics) {
        this.ring = Assert.notNull(ring, "ring");
        this.metrics = Assert.notNull(metrics, "metrics");
    }

    /** Offers an event to the duty; what a full ring cannot take is refused, broken off or kept, never lost unseen. */
    void offer(SideEvent event) {
        if (ring.offer(event)) {
            return;
        }
        if (event instanceof SideEvent.BackendBytes bytes) {
            breakOff(bytes.work());
        } else if (event instanceof SideEvent.BackendHead head) {
            breakOff(head.work());
        } else if (event instanceof SideEvent.FrameArrived arrived) {
            refuseAtRing(arrived);
        } else if (event instanceof SideEvent.LinkOpened opened) {
            opened.link().close();
        } else {
            keep(event);
        }
    }

    /** Keeps an event for the next tick; an answer whose end comes so may have lost its order and is broken off. */
    private void keep(SideEvent event) {
        if (event instanceof SideEvent.BackendEnded ended) {
            breakOff(ended.work());
        }
        overflow.add(event);
    }

    private void breakOff(Work work) {
        if (!work.isBroken()) {
            logger.warn("event=side-ring-full broken_off={}", work.frame().id());
            metrics.answerBroken();
            work.markBroken();
        }
    }

    private void refuseAtRing(SideEvent.FrameArrived arrived) {
        if (arrived.frame() instanceof WorkFrame work) {
            metrics.refusedAtRing();
            Refusal refusal = Refusal.notRun(RefusalReason.QUEUE_FULL, "the runner has too much to do");
            arrived.link().send(new RefusalFrame(work.id(), work.attempt(), refusal));
        }
    }

    /** Hands on the events that the ring could not take. */
    void takeOverflow(Consumer<SideEvent> handler) {
        SideEvent event = overflow.poll();
        while (event != null) {
            handler.accept(event);
            event = overflow.poll();
        }
    }
}
