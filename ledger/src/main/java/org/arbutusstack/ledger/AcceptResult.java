package org.arbutusstack.ledger;

/** Tells what became of a ticket that was submitted. */
public sealed interface AcceptResult {

    /**
     * The ticket stands in the log.
     *
     * @param ticket the ticket with its place
     * @param again whether it stood there before this submission
     */
    record Accepted(AcceptedTicket ticket, boolean again) implements AcceptResult {}

    /**
     * The ticket cannot come into force and was not written.
     *
     * @param reason why
     * @param detail one sentence for people
     */
    record Refused(TicketRefusal reason, String detail) implements AcceptResult {}

    /**
     * The key-value service could not be used; the ticket does not stand in the log.
     *
     * @param detail one sentence for people
     */
    record NotAccepted(String detail) implements AcceptResult {}

    /**
     * Time ran out before it was certain whether the ticket stands in the log; submitting it again tells.
     *
     * @param detail one sentence for people
     */
    record Undecided(String detail) implements AcceptResult {}
}
