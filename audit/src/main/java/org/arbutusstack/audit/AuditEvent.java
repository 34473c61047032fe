package org.arbutusstack.audit;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Event in the audit trail. The JSON property {@code kind} names its type.
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
     * End of a caller's request at an entry.
     *
     * @param request the request ID
     * @param target the requested model or service
     * @param ticket the number of the ticket in force for the target
     * @param sequence the log sequence in force at the entry
     * @param runner the runner that answered; empty if none did
     * @param modelVersion the version of the model that answered; empty for a plain service
     * @param attempts the number of times the request was sent to a runner
     * @param outcome {@code answered}, {@code cancelled} or the kind of refusal
     * @param reason the reason for the refusal; empty if the request was answered
     * @param status the HTTP status returned to the caller
     * @param keyDigest the digest of the idempotency key; empty if the request has none
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
     * End of one attempt at a request on a side.
     *
     * @param request the request ID
     * @param attempt the number of the attempt
     * @param target the requested model or service
     * @param modelVersion the version of the model; empty for a plain service
     * @param sequence the log sequence in force at the side
     * @param sent whether the request was sent to the backend server
     * @param outcome {@code answered}, {@code cancelled} or the kind of refusal
     * @param reason the reason for the refusal; empty if the request was answered
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
     * Submission of a ticket by an operator.
     *
     * @param ticket the number of the ticket
     * @param operator the name of the operator
     * @param digest the digest of the ticket's content
     * @param result the outcome of the submission
     * @param sequence the ticket's sequence in the log; zero if it is not in the log
     */
    record TicketSubmitted(long ticket, String operator, String digest, String result, long sequence)
            implements AuditEvent {}

    /**
     * Advance of a process's ticket log to a sequence, which puts all tickets up to it in force.
     *
     * @param sequence the log sequence that was reached
     * @param chain the chain digest of the log at that sequence
     */
    record TicketInForce(long sequence, String chain) implements AuditEvent {}

    /**
     * Request to the operator port without a valid operator token.
     *
     * @param path the requested path
     * @param source the address of the client
     */
    record OperatorRefused(String path, String source) implements AuditEvent {}

    /**
     * Loss of events because the queue of the audit trail was full.
     *
     * @param count the number of events lost since the previous record
     */
    record RecordsLost(long count) implements AuditEvent {}
}
