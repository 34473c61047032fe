package org.arbutusstack.side;

import java.util.function.LongSupplier;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.wire.frame.AnswerHeadFrame;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.WorkFrame;

/**
 * Sender of answers and refusals of work over its link, which also records its end in the audit trail and the metrics.
 * Confined to the side's event loop.
 */
final class AnswerSender {

    private final String runner;

    private final LongSupplier sequence;

    private final AuditTrail trail;

    private final WorkMetrics metrics;

    AnswerSender(String runner, LongSupplier sequence, AuditTrail trail, WorkMetrics metrics) {
        this.runner = Assert.hasText(runner, "runner");
        this.sequence = Assert.notNull(sequence, "sequence");
        this.trail = Assert.notNull(trail, "trail");
        this.metrics = Assert.notNull(metrics, "metrics");
    }

    void sendHead(WorkItem work) {
        WorkFrame frame = work.frame();
        work.link()
                .send(new AnswerHeadFrame(
                        frame.id(),
                        frame.attempt(),
                        work.status(),
                        work.contentType(),
                        runner,
                        work.modelVersion(),
                        sequence.getAsLong()));
    }

    void sendPart(WorkItem work, byte[] bytes, int units) {
        send(work, bytes, units, false);
    }

    void sendLastPart(WorkItem work, byte[] bytes, int units) {
        send(work, bytes, units, true);
        recordEnd(work, "answered", "");
    }

    private void send(WorkItem work, byte[] bytes, int units, boolean last) {
        WorkFrame frame = work.frame();
        long offset = work.advanceOffset(units);
        boolean sent = work.link().send(new AnswerPartFrame(frame.id(), frame.attempt(), offset, units, bytes, last));
        if (!sent && work.link().isOpen()) {
            work.link().close();
        }
    }

    void refuse(WorkItem work, Refusal refusal) {
        work.link().send(new RefusalFrame(work.frame().id(), work.frame().attempt(), refusal));
        recordEnd(work, refusal.kind().label(), refusal.reason().label());
    }

    void recordCancelled(WorkItem work) {
        recordEnd(work, "cancelled", "");
    }

    private void recordEnd(WorkItem work, String outcome, String reason) {
        WorkFrame frame = work.frame();
        metrics.ended(outcome, reason);
        trail.record(new AuditEvent.WorkEnded(
                frame.id().toString(),
                frame.attempt(),
                frame.model().isEmpty() ? frame.service() : frame.model(),
                work.modelVersion(),
                sequence.getAsLong(),
                work.isSent(),
                outcome,
                reason));
    }
}
