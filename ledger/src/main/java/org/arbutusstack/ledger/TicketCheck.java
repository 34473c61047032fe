package org.arbutusstack.ledger;

import java.util.Optional;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.Ticket;

/** Strategy interface for validating a ticket against the state that it would change. Implementations are stateless. */
@FunctionalInterface
public interface TicketCheck {

    /**
     * Return the first violation that the ticket would cause.
     *
     * @param ticket the ticket
     * @param before the state before the ticket
     * @param after the state after the ticket
     * @return a description of the violation for operators, or empty if the ticket is valid
     */
    Optional<String> findViolation(Ticket ticket, DesiredState before, DesiredState after);
}
