package org.arbutusstack.model.ticket;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * An entry of the ticket log: the ticket, and by whom, when and through which process it was submitted.
 *
 * @param ticket the ticket
 * @param operator the operator who submitted it
 * @param submittedAtMillis the time of submission, in milliseconds since the epoch by the clock of the accepting host
 * @param acceptedBy the process that wrote the entry
 */
public record TicketEntry(Ticket ticket, String operator, long submittedAtMillis, String acceptedBy) {

    /** Create an entry; the ticket must not be {@code null}, and both names must have text. */
    public TicketEntry {
        Assert.notNull(ticket, "ticket");
        Assert.hasText(operator, "operator");
        Assert.hasText(acceptedBy, "acceptedBy");
    }

    /**
     * Compute the digest that identifies the entry.
     *
     * @return the digest of the JSON
     */
    @JsonIgnore
    public Digest digest() {
        return Digest.of(JsonCodec.write(this));
    }
}
