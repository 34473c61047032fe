package org.arbutusstack.model.ticket;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * Records a ticket as it stands in the log: the ticket, who submitted it, when and through which process.
 *
 * @param ticket the ticket
 * @param operator who submitted it
 * @param submittedAtMillis when, in milliseconds since the epoch by the accepting host's clock
 * @param acceptedBy the process that wrote the entry
 */
public record TicketEntry(Ticket ticket, String operator, long submittedAtMillis, String acceptedBy) {

    /** Checks the entry. */
    public TicketEntry {
        Assert.notNull(ticket, "ticket");
        Assert.hasText(operator, "operator");
        Assert.hasText(acceptedBy, "acceptedBy");
    }

    /**
     * Computes the digest that names the entry.
     *
     * @return the digest
     */
    @JsonIgnore
    public Digest digest() {
        return Digest.of(JsonCodec.write(this));
    }
}
