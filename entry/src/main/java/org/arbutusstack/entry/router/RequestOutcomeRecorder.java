package org.arbutusstack.entry.router;

import java.util.function.LongSupplier;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/** Records the end of each request, once, in the metrics and the audit trail. Used by the router's duty only. */
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

    void answered(PendingRequest entry) {
        metrics.answered(entry.request().priority(), ageNanos(entry));
        record(entry, "answered", "", entry.head().status());
    }

    void refused(PendingRequest entry, Refusal refusal) {
        metrics.refused(refusal, ageNanos(entry));
        record(
                entry,
                refusal.kind().label(),
                refusal.reason().label(),
                refusal.reason().status());
    }

    void cancelled(PendingRequest entry) {
        metrics.callerGone();
        RefusalReason reason = RefusalReason.CANCELLED;
        record(entry, reason.label(), reason.label(), reason.status());
    }

    private long ageNanos(PendingRequest entry) {
        return clock.nowNanos() - entry.arrivedNanos();
    }

    private void record(PendingRequest entry, String outcome, String reason, int status) {
        CallerRequest request = entry.request();
        boolean answered = entry.head() != null;
        trail.record(new AuditEvent.RequestEnded(
                request.id().toString(),
                request.model().isEmpty() ? request.routing().service() : request.model(),
                request.ticketNumber(),
                sequence.getAsLong(),
                answered ? entry.head().runner() : "",
                answered ? entry.head().modelVersion() : "",
                entry.sends(),
                outcome,
                reason,
                status,
                digestOf(request.idempotencyKey())));
    }

    private static String digestOf(String key) {
        return key.isEmpty() ? "" : Digest.of(key).hex();
    }
}
