package org.arbutusstack.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * Keeps this process's copy of the ticket log and the state that follows from it.
 *
 * <p>The copy only grows: an older state never replaces a newer one. Safe for use by any thread.
 *
 * @see TicketLog
 */
public final class LogReplica {

    private final List<AcceptedTicket> accepted = new ArrayList<>();

    private final Map<Long, AcceptedTicket> byNumber = new HashMap<>();

    private final List<Consumer<DesiredState>> listeners = new CopyOnWriteArrayList<>();

    private volatile DesiredState state = DesiredState.EMPTY;

    /**
     * Tells the state in force in this process.
     *
     * @return the state
     */
    public DesiredState state() {
        return state;
    }

    /**
     * Adds a listener, called after each advance by the thread that advanced the copy.
     *
     * @param listener learns of the new state; must not block
     */
    public void addListener(Consumer<DesiredState> listener) {
        listeners.add(Assert.notNull(listener, "listener"));
    }

    /**
     * Appends entries; those that the copy has already are passed over.
     *
     * @param afterSequence the sequence of the entry before the first one given
     * @param entries the entries in order
     * @return {@code false} if entries between the copy and the first one given are missing
     */
    public boolean append(long afterSequence, List<TicketEntry> entries) {
        DesiredState advanced;
        synchronized (this) {
            if (afterSequence > state.sequence()) {
                return false;
            }
            long known = state.sequence() - afterSequence;
            if (known >= entries.size()) {
                return true;
            }
            entries.subList((int) known, entries.size()).forEach(this::appendOne);
            advanced = state;
        }
        listeners.forEach(listener -> listener.accept(advanced));
        return true;
    }

    private void appendOne(TicketEntry entry) {
        DesiredState next = state.apply(entry);
        AcceptedTicket ticket = new AcceptedTicket(next.sequence(), next.chain(), entry);
        accepted.add(ticket);
        byNumber.put(entry.ticket().number(), ticket);
        state = next;
    }

    /**
     * Lists entries for a peer that is behind.
     *
     * @param afterSequence the last sequence that the peer has
     * @param most the largest number of entries to list
     * @return the entries that follow
     */
    public synchronized List<TicketEntry> entriesAfter(long afterSequence, int most) {
        long from = Math.min(Math.max(0, afterSequence), accepted.size());
        long to = Math.min(accepted.size(), from + most);
        return accepted.subList((int) from, (int) to).stream()
                .map(AcceptedTicket::entry)
                .toList();
    }

    /**
     * Finds a ticket by its number.
     *
     * @param number the ticket's number
     * @return the ticket, or empty if none with that number stands in the copy
     */
    public synchronized Optional<AcceptedTicket> ticket(long number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    /**
     * Lists the last tickets.
     *
     * @param most the largest number of tickets to list
     * @return the tickets, newest first
     */
    public synchronized List<AcceptedTicket> latest(int most) {
        List<AcceptedTicket> latest =
                new ArrayList<>(accepted.subList(Math.max(0, accepted.size() - most), accepted.size()));
        java.util.Collections.reverse(latest);
        return latest;
    }
}
