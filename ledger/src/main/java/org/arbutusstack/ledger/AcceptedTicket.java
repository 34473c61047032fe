package org.arbutusstack.ledger;

import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * A ticket that the log contains, with its position.
 *
 * @param sequence its sequence in the log
 * @param chain the chain digest after the entry
 * @param entry the ticket and its submitter
 */
public record AcceptedTicket(long sequence, Digest chain, TicketEntry entry) {}
