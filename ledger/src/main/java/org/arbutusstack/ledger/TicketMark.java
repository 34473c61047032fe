package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Remembers an accepted ticket without its content.
 *
 * @param number the ticket's number
 * @param sequence its sequence in the log
 * @param ticketDigest the digest of the ticket's content, in hexadecimal digits
 * @param entryDigest the digest of its entry, in hexadecimal digits
 * @param chain the chain digest after it, in hexadecimal digits
 */
public record TicketMark(long number, long sequence, String ticketDigest, String entryDigest, String chain) {

    /** Checks the digests. */
    public TicketMark {
        Assert.hasText(ticketDigest, "ticketDigest");
        Assert.hasText(entryDigest, "entryDigest");
        Assert.hasText(chain, "chain");
    }

    /**
     * Remembers a ticket.
     *
     * @param ticket the ticket with its place
     * @return what is remembered
     */
    public static TicketMark of(AcceptedTicket ticket) {
        return new TicketMark(
                ticket.entry().ticket().number(),
                ticket.sequence(),
                ticket.entry().ticket().digest().hex(),
                ticket.entry().digest().hex(),
                ticket.chain().hex());
    }

    /**
     * Tells the chain digest after the ticket.
     *
     * @return the digest
     */
    @JsonIgnore
    public Digest chainDigest() {
        return new Digest(chain);
    }
}
