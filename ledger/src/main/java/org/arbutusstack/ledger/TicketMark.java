package org.arbutusstack.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Identifies an accepted ticket by its number, its position in the log and its digests, without its content.
 *
 * @param number the ticket's number
 * @param sequence its sequence in the log
 * @param ticketDigest the digest of the ticket's content, in hexadecimal
 * @param entryDigest the digest of its entry, in hexadecimal
 * @param chain the chain digest after its entry, in hexadecimal
 */
public record TicketMark(long number, long sequence, String ticketDigest, String entryDigest, String chain) {

    /** Create a mark; every digest has to be present. */
    public TicketMark {
        Assert.hasText(ticketDigest, "ticketDigest");
        Assert.hasText(entryDigest, "entryDigest");
        Assert.hasText(chain, "chain");
    }

    /**
     * Create the mark of a ticket.
     *
     * @param ticket the ticket and its position in the log
     * @return the mark
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
     * Return the chain digest after the ticket.
     *
     * @return the parsed digest
     */
    @JsonIgnore
    public Digest chainDigest() {
        return new Digest(chain);
    }
}
