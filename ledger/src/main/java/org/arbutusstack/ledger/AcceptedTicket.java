package org.arbutusstack.ledger;

import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * Describes a ticket that stands in the log.
 *
 * @param sequence its sequence in the log
 * @param chain the chain digest after it
 * @param entry the entry
 */
public record AcceptedTicket(long sequence, Digest chain, TicketEntry entry) {}
