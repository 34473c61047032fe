package org.arbutusstack.ledger;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * Keeps this process's copy of the ticket log: the state that follows from it, the last entries, and the marks of the
 * last tickets.
 *
 * <p>The copy only grows: an older state never replaces a newer one. Its size is bounded whatever the log's length.
 * Safe for use by any thread.
 *
 * @see TicketLog
 */
public final class LogReplica {

    private final RecentTickets recent = new RecentTickets();

    private final List<Consumer<DesiredState>> listeners = new CopyOnWriteArrayList<>();

    private volatile DesiredState state = DesiredState.EMPTY;

    private EncodedSnapshot encoded;

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
                return isContradicted(afterSequence + entries.size(), chain)
                        ? AppendOutcome.DIVERGED
                        : AppendOutcome.KNOWN;
            }
            List<AcceptedTicket> following = follow(entries.subList((int) known, entries.size()));
            if (!following.get(following.size() - 1).chain().equals(chain)) {
                return AppendOutcome.DIVERGED;
            }
            following.forEach(recent::add);
            DesiredState next = state;
            for (AcceptedTicket ticket : following) {
                next = next.apply(ticket.entry());
            }
            state = next;
            advanced = next;
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

    private boolean isContradicted(long sequence, Digest chain) {
        return chainAt(sequence).filter(own -> !own.equals(chain)).isPresent();
    }

    /**
     * Replaces the copy by a snapshot that is ahead of it.
     *
     * @param snapshot the snapshot
     * @return what became of it; {@link AppendOutcome#DIVERGED} if it contradicts the copy
     */
    public AppendOutcome install(LogSnapshot snapshot) {
        DesiredState restored = snapshot.toState();
        synchronized (this) {
            if (restored.sequence() <= state.sequence()) {
                return isContradicted(restored.sequence(), restored.chain())
                        ? AppendOutcome.DIVERGED
                        : AppendOutcome.KNOWN;
            }
            long have = state.sequence();
            Digest chain = state.chain();
            boolean contradicts = snapshot.marks().stream()
                    .anyMatch(mark ->
                            mark.sequence() == have && !mark.chainDigest().equals(chain));
            if (contradicts) {
                return AppendOutcome.DIVERGED;
            }
            recent.restart(restored.sequence(), snapshot.marks());
            state = restored;
        }
        listeners.forEach(listener -> listener.accept(restored));
        return AppendOutcome.ADVANCED;
    }

    /**
     * Takes a snapshot.
     *
     * @return the snapshot at the present sequence
     */
    public LogSnapshot snapshot() {
        DesiredState present;
        List<TicketMark> marks;
        synchronized (this) {
            present = state;
            marks = recent.marks();
        }
        return LogSnapshot.of(present, marks);
    }

    /**
     * Gives a snapshot in bytes, from which a peer can go on by entries; the same one as long as that holds.
     *
     * @return the snapshot
     */
    public EncodedSnapshot encodedSnapshot() {
        EncodedSnapshot present;
        synchronized (this) {
            present = encoded;
            if (present != null && present.sequence() >= recent.retainedAfterSequence()) {
                return present;
            }
        }
        EncodedSnapshot fresh = EncodedSnapshot.of(snapshot());
        synchronized (this) {
            encoded = fresh;
        }
        return fresh;
    }

    /**
     * Lists entries for a peer that is behind, up to a number of entries and of bytes.
     *
     * @param afterSequence the last sequence that the peer has
     * @param most the largest number of entries to list
     * @param mostBytes the size in bytes of JSON after which no further entry is listed
     * @return the entries that follow, or empty if there are none or they are no longer kept
     */
    public synchronized Optional<LogBatch> batchAfter(long afterSequence, int most, long mostBytes) {
        return recent.batchAfter(afterSequence, most, mostBytes);
    }

    /**
     * Tells whether the entries after a sequence are still kept.
     *
     * @param afterSequence the sequence
     * @return whether a peer at that sequence can go on by entries
     */
    public synchronized boolean isRetained(long afterSequence) {
        return afterSequence >= recent.retainedAfterSequence();
    }

    /**
     * Tells the chain digest after an entry.
     *
     * @param sequence the sequence of the entry, zero for the start of the log
     * @return the chain digest, or empty if the copy does not know it
     */
    public synchronized Optional<Digest> chainAt(long sequence) {
        if (sequence == state.sequence()) {
            return Optional.of(state.chain());
        }
        return sequence == 0 ? Optional.of(Digest.ZERO) : recent.chainAt(sequence);
    }

    /**
     * Finds the mark of a ticket by its number.
     *
     * @param number the ticket's number
     * @return the mark, or empty if the ticket is not among the last ones
     */
    public synchronized Optional<TicketMark> mark(long number) {
        return recent.mark(number);
    }

    /**
     * Tells from where on the copy has the mark of every ticket.
     *
     * @return the sequence before the first mark, zero if no mark is missing
     */
    public synchronized long marksAfterSequence() {
        return recent.marksAfterSequence();
    }

    /**
     * Finds a ticket by its number among the last ones.
     *
     * @param number the ticket's number
     * @return the ticket, or empty if it is not kept
     */
    public synchronized Optional<AcceptedTicket> ticket(long number) {
        return recent.ticket(number);
    }

    /**
     * Lists the last tickets.
     *
     * @param most the largest number of tickets to list
     * @return the tickets, newest first
     */
    public synchronized List<AcceptedTicket> latest(int most) {
        List<AcceptedTicket> latest = new ArrayList<>(recent.latest(most));
        Collections.reverse(latest);
        return latest;
    }
}
