package org.arbutusstack.audit;

/**
 * Strategy interface for recording audit events.
 *
 * <p>Implementations are thread-safe and never block the caller.
 *
 * @see ChainedAuditTrail
 */
@FunctionalInterface
public interface AuditTrail {

    /** No-op implementation, for tests that do not cover auditing. */
    AuditTrail NONE = event -> {};

    /**
     * Record an event.
     *
     * @param event the event to record
     */
    void record(AuditEvent event);
}
