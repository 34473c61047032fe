package org.arbutusstack.audit;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Is something that an auditor may ask about.
 *
 * <p>Implementations are immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = AuditEvent.RequestEnded.class, name = "request"),
    @JsonSubTypes.Type(value = AuditEvent.WorkEnded.class, name = "work"),
    @JsonSubTypes.Type(value = AuditEvent.TicketSubmitted.class, name = "ticket"),
    @JsonSubTypes.Type(value = AuditEvent.TicketInForce.class, name = "in_force"),
    @JsonSubTypes.Type(value = AuditEvent.OperatorRefused.class, name = "operator_refused"),
    @JsonSubTypes.Type(value = AuditEvent.RecordsLost.class, name = "lost")
})
public sealed interface AuditEvent {

    /**
     * A caller's request ended at an entry.
     *
     * @param request the request's name
     * @param target the model or service asked for
     * @param ticket the number of the ticket in force for it
     * @param sequence the log sequence in force at the entry
     * @param runner the runner that answered; empty if none did
     * @param modelVersion the version of the model that answered; empty for a plain service
     * @param attempts how often it was sent to a runner
     * @param outcome {@code answered}, {@code cancelled} or the refusal's kind
     * @param reason the refusal's reason; empty if it was answered
     * @param status the HTTP status told to the caller
     * @param keyDigest the digest of the idempotency key; empty for none
     */
    record RequestEnded(
            String request,
            String target,
            long ticket,
            long sequence,
            String runner,
            String modelVersion,
            int attempts,
            String outcome,
            String reason,
            int status,
            String keyDigest)
            implements AuditEvent {}

    /**
     * A side's work on a request ended.
     *
     * @param request the request's name
     * @param attempt the attempt
     * @param target the model or service
     * @param modelVersion the version of the model; empty for a plain service
     * @param sequence the log sequence in force at the side
     * @param sent whether it was sent to the backend server
     * @param outcome {@code answered}, {@code cancelled} or the refusal's kind
     * @param reason the refusal's reason; empty if it was answered
     */
    record WorkEnded(
            String request,
            int attempt,
            String target,
            String modelVersion,
            long sequence,
            boolean sent,
            String outcome,
            String reason)
            implements AuditEvent {}

    /**
     * An operator submitted a ticket.
     *
     * @param ticket the ticket's number
     * @param operator who submitted it
     * @param digest the digest of the ticket's content
     * @param result what became of it
     * @param sequence its sequence in the log, zero if it does not stand there
     */
    record TicketSubmitted(long ticket, String operator, String digest, String result, long sequence)
            implements AuditEvent {}

    /**
     * The ticket log of a process reached a sequence, so that its tickets up to there are in force.
     *
     * @param sequence the log sequence
     * @param chain the chain digest after it
     */
    record TicketInForce(long sequence, String chain) implements AuditEvent {}

    /**
     * Somebody without an operator's token came to the operators' port.
     *
     * @param path the path asked for
     * @param source the address it came from
     */
    record OperatorRefused(String path, String source) implements AuditEvent {}

    /**
     * Records could not be taken since too many waited.
     *
     * @param count how many
     */
    record RecordsLost(long count) implements AuditEvent {}
}
