package org.arbutusstack.ledger;

/** The outcome of submitting a ticket. */
public sealed interface AcceptResult {

    /**
     * The log contains the ticket.
     *
     * @param ticket the ticket and its position in the log
     * @param again whether the log contained it before this submission
     */
    record Accepted(AcceptedTicket ticket, boolean again) implements AcceptResult {}

    /**
     * The ticket is not permitted to come into force and was not accepted.
     *
     * @param reason the kind of refusal
     * @param detail a description for operators
     */
    record Refused(TicketRefusal reason, String detail) implements AcceptResult {}

    /**
     * The key-value service was unavailable; the log does not contain the ticket.
     *
     * @param detail a description for operators
     */
    record NotAccepted(String detail) implements AcceptResult {}

    /**
     * The deadline passed before it was known whether the log contains the ticket; submitting it again resolves this.
     *
     * @param detail a description for operators
     */
    record Undecided(String detail) implements AcceptResult {}
}
