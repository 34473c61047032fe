package org.arbutusstack.ledger;

import java.util.Locale;

/** Tells why a ticket was refused. */
public enum TicketRefusal {
    /** It touches an object for which a higher number is in force. */
    SUPERSEDED,
    /** Its number is that of another ticket with other content. */
    CONFLICT,
    /** It names something that does not exist, or does not fit. */
    INVALID,
    /** It has more bytes than an entry of the log may have. */
    OVERSIZED;

    /**
     * Names the reason to operators.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
