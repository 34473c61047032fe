package org.arbutusstack.entry.router;

import java.util.function.LongSupplier;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Recorder of the outcome of each request, exactly once, in the metrics and in the audit trail. Not thread-safe:
 * confined to the router's event loop.
 */
final class RequestOutcomeRecorder {

    private final RouterMetrics metrics;

    private final AuditTrail trail;

    private final LongSupplier sequence;

    private final Clock clock;

    RequestOutcomeRecorder(RouterMetrics metrics, AuditTrail trail, LongSupplier sequence, Clock clock) {
        this.metrics = Assert.notNull(metrics, "metrics");
        this.trail = Assert.notNull(trail, "trail");
        this.sequence = Assert.notNull(sequence, "sequence");
        this.clock = Assert.notNull(clock, "clock");
    }

    void answered(PendingRequest pending) {
        metrics.answered(pending.request().priority(), ageNanos(pending));
        record(pending, "answered", "", pending.head().status());
    }

    void refused(PendingRequest pending, Refusal refusal) {
        metrics.refused(refusal, ageNanos(pending));
        record(
                pending,
                refusal.kind().label(),
                refusal.reason().label(),
                refusal.reason().status());
    }

    void cancelled(PendingRequest pending) {
        metrics.callerDisconnected();
        RefusalReason reason = RefusalReason.CANCELLED;
        record(pending, reason.label(), reason.label(), reason.status());
    }

    private long ageNanos(PendingRequest pending) {
        return clock.nowNanos() - pending.arrivedNanos();
    }

    private void record(PendingRequest pending, String outcome, String reason, int status) {
        CallerRequest request = pending.request();
        boolean answered = pending.head() != null;
        trail.record(new AuditEvent.RequestEnded(
                request.id().toString(),
                request.model().isEmpty() ? request.routing().service() : request.model(),
                request.ticketNumber(),
                sequence.getAsLong(),
                answered ? pending.head().runner() : "",
                answered ? pending.head().modelVersion() : "",
                pending.sends(),
                outcome,
                reason,
                status,
                digestOf(request.idempotencyKey())));
    }

    private static String digestOf(String key) {
        return key.isEmpty() ? "" : Digest.of(key).hex();
    }
}
