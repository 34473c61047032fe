package org.arbutusstack.ledger;

import java.util.List;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * A batch of consecutive entries of the ticket log.
 *
 * @param afterSequence the sequence before that of the first entry
 * @param entries the entries in order
 * @param chain the chain digest after the last entry
 */
public record LogBatch(long afterSequence, List<TicketEntry> entries, Digest chain) {

    /** Make a defensive copy of the entries. */
    public LogBatch {
        entries = List.copyOf(entries);
    }
}
