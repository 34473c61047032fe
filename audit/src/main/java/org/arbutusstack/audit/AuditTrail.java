package org.arbutusstack.audit;

/**
 * Takes the events that an auditor may ask about.
 *
 * <p>Implementations are safe for use by any thread and never block.
 *
 * @see ChainedAuditTrail
 */
@FunctionalInterface
public interface AuditTrail {

    /** A trail that keeps nothing, for tests of other matters. */
    AuditTrail NONE = event -> {};

    /**
     * Takes an event.
     *
     * @param event what happened
     */
    void record(AuditEvent event);
}
