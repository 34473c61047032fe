package org.arbutusstack.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;
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
     * Appends entries if the chain digest after them is the one expected; those that the copy has are passed over.
     *
     * @param afterSequence the sequence of the entry before the first one offered
     * @param entries the entries in order
     * @param chain the chain digest after the last one offered
     * @return what became of them
     */
    public AppendOutcome append(long afterSequence, List<TicketEntry> entries, Digest chain) {
        DesiredState advanced;
        synchronized (this) {
            if (afterSequence > state.sequence()) {
                return AppendOutcome.GAP;
            }
            long known = state.sequence() - afterSequence;
            if (known >= entries.size()) {
                Optional<Digest> own = chainAt(afterSequence + entries.size());
                return own.isEmpty() || own.get().equals(chain) ? AppendOutcome.KNOWN : AppendOutcome.DIVERGED;
            }
            List<AcceptedTicket> following = follow(entries.subList((int) known, entries.size()));
            if (!following.get(following.size() - 1).chain().equals(chain)) {
                return AppendOutcome.DIVERGED;
            }
            following.forEach(this::take);
            following.forEach(ticket -> state = state.apply(ticket.entry()));
            advanced = state;
        }
        listeners.forEach(listener -> listener.accept(advanced));
        return AppendOutcome.ADVANCED;
    }

    private List<AcceptedTicket> follow(List<TicketEntry> entries) {
        List<AcceptedTicket> following = new ArrayList<>();
        long sequence = state.sequence();
        Digest chain = state.chain();
        for (TicketEntry entry : entries) {
            sequence++;
            chain = chain.chain(entry.digest());
            following.add(new AcceptedTicket(sequence, chain, entry));
        }
        return following;
    }

    private void take(AcceptedTicket ticket) {
        accepted.add(ticket);
        byNumber.put(ticket.entry().ticket().number(), ticket);
    }

    /**
     * Lists entries for a peer that is behind, up to a number of entries and of bytes.
     *
     * @param afterSequence the last sequence that the peer has
     * @param most the largest number of entries to list
     * @param mostBytes the size in bytes of JSON after which no further entry is listed
     * @return the entries that follow, or empty if there are none
     */
    public synchronized Optional<LogBatch> batchAfter(long afterSequence, int most, long mostBytes) {
        if (afterSequence < 0 || afterSequence >= accepted.size()) {
            return Optional.empty();
        }
        List<TicketEntry> entries = new ArrayList<>();
        Digest chain = Digest.ZERO;
        long bytes = 0;
        for (AcceptedTicket ticket : accepted.subList((int) afterSequence, accepted.size())) {
            if (entries.size() >= most || bytes >= mostBytes) {
                break;
            }
            entries.add(ticket.entry());
            chain = ticket.chain();
            bytes += JsonCodec.write(ticket.entry()).length;
        }
        return Optional.of(new LogBatch(afterSequence, entries, chain));
    }

    /**
     * Tells the chain digest after an entry.
     *
     * @param sequence the sequence of the entry, zero for the start of the log
     * @return the chain digest, or empty if the copy does not know it
     */
    public synchronized Optional<Digest> chainAt(long sequence) {
        if (sequence == 0) {
            return Optional.of(Digest.ZERO);
        }
        if (sequence < 0 || sequence > accepted.size()) {
            return Optional.empty();
        }
        return Optional.of(accepted.get((int) sequence - 1).chain());
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
