package org.arbutusstack.ledger;

import java.util.Optional;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.Ticket;

/** Checks a ticket against the state that it would change. Implementations are stateless. */
@FunctionalInterface
public interface TicketCheck {

    /**
     * Checks a ticket.
     *
     * @param ticket the ticket
     * @param before the state before it
     * @param after the state after it
     * @return what is wrong, or empty if nothing is
     */
    Optional<String> findViolation(Ticket ticket, DesiredState before, DesiredState after);
}
