package org.arbutusstack.ledger;

/** Tells whether a ticket number was ever accepted. */
sealed interface MarkLookup {

    /** A ticket with the number stands in the log. */
    record Found(TicketMark mark) implements MarkLookup {}

    /** No ticket with the number stands in the log. */
    record Absent() implements MarkLookup {}

    /** The key-value service did not tell. */
    record Unreadable() implements MarkLookup {}
}
