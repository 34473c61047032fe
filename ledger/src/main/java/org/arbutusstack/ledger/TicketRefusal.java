package org.arbutusstack.ledger;

import java.util.Locale;

/** The reasons for which a ticket is refused. */
public enum TicketRefusal {
    /** A higher ticket number is in force for an object that the ticket touches. */
    SUPERSEDED,
    /** A ticket with the same number and different content was accepted. */
    CONFLICT,
    /** A check failed: the ticket refers to an object that does not exist, or exceeds a capacity. */
    INVALID,
    /** The entry is larger than the maximum size of an entry of the log. */
    OVERSIZED;

    /**
     * Return the name of the reason that is reported to operators.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
