package org.arbutusstack.ledger;

/** The result of looking up a ticket number among all accepted tickets. */
sealed interface MarkLookup {

    /** The log contains a ticket with the number. */
    record Found(TicketMark mark) implements MarkLookup {}

    /** The log contains no ticket with the number. */
    record Absent() implements MarkLookup {}

    /** The number page could not be read from the key-value service, or is malformed. */
    record Unreadable() implements MarkLookup {}
}
