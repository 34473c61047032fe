package org.arbutusstack.ledger;

import java.util.List;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * Holds entries of the ticket log that follow each other.
 *
 * @param afterSequence the sequence of the entry before the first one
 * @param entries the entries in order
 * @param chain the chain digest after the last one
 */
public record LogBatch(long afterSequence, List<TicketEntry> entries, Digest chain) {

    /** Copies the entries. */
    public LogBatch {
        entries = List.copyOf(entries);
    }
}
