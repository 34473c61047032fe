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
 * This process's replica of the ticket log: the desired state that results from it, the most recent entries, and the
 * marks of the most recent tickets.
 *
 * <p>The replica only advances: an older state never replaces a newer one. Its size is bounded independently of the
 * length of the log. Thread-safe.
 *
 * @see TicketLog
 */
public final class LogReplica {

    private final RecentTickets recent = new RecentTickets();

    private final List<Consumer<DesiredState>> listeners = new CopyOnWriteArrayList<>();

    private volatile DesiredState state = DesiredState.EMPTY;

    private EncodedSnapshot encoded;

    /**
     * Return the desired state in force in this process.
     *
     * @return the state at the end of the replica
     */
    public DesiredState state() {
        return state;
    }

    /**
     * Add a listener, called after each advance by the thread that advanced the replica.
     *
     * @param listener receives the new state; must not block
     */
    public void addListener(Consumer<DesiredState> listener) {
        listeners.add(Assert.notNull(listener, "listener"));
    }

    /**
     * Append entries if they lead to the expected chain digest; entries that the replica already contains are skipped.
     *
     * @param afterSequence the sequence before that of the first entry offered
     * @param entries the entries in order
     * @param chain the expected chain digest after the last entry offered
     * @return the outcome
     */
    public AppendOutcome append(long afterSequence, List<TicketEntry> entries, Digest chain) {
        DesiredState advanced;
        synchronized (this) {
            if (afterSequence > state.sequence()) {
                return AppendOutcome.GAP;
            }
            long known = state.sequence() - afterSequence;
            if (known >= entries.size()) {
                return conflictsAt(afterSequence + entries.size(), chain)
                        ? AppendOutcome.DIVERGED
                        : AppendOutcome.KNOWN;
            }
            List<AcceptedTicket> chained = chainEntries(entries.subList((int) known, entries.size()));
            if (!chained.get(chained.size() - 1).chain().equals(chain)) {
                return AppendOutcome.DIVERGED;
            }
            chained.forEach(recent::add);
            DesiredState next = state;
            for (AcceptedTicket ticket : chained) {
                next = next.apply(ticket.entry());
            }
            state = next;
            advanced = next;
        }
        listeners.forEach(listener -> listener.accept(advanced));
        return AppendOutcome.ADVANCED;
    }

    private List<AcceptedTicket> chainEntries(List<TicketEntry> entries) {
        List<AcceptedTicket> chained = new ArrayList<>();
        long sequence = state.sequence();
        Digest chain = state.chain();
        for (TicketEntry entry : entries) {
            sequence++;
            chain = chain.chain(entry.digest());
            chained.add(new AcceptedTicket(sequence, chain, entry));
        }
        return chained;
    }

    private boolean conflictsAt(long sequence, Digest chain) {
        return chainAt(sequence).filter(own -> !own.equals(chain)).isPresent();
    }

    /**
     * Replace the replica by a snapshot that is ahead of it.
     *
     * @param snapshot the snapshot
     * @return the outcome; {@link AppendOutcome#DIVERGED} if the snapshot contradicts the replica
     */
    public AppendOutcome install(LogSnapshot snapshot) {
        DesiredState restored = snapshot.toState();
        synchronized (this) {
            if (restored.sequence() <= state.sequence()) {
                return conflictsAt(restored.sequence(), restored.chain())
                        ? AppendOutcome.DIVERGED
                        : AppendOutcome.KNOWN;
            }
            long ownSequence = state.sequence();
            Digest chain = state.chain();
            boolean conflicts = snapshot.marks().stream()
                    .anyMatch(mark -> mark.sequence() == ownSequence
                            && !mark.chainDigest().equals(chain));
            if (conflicts) {
                return AppendOutcome.DIVERGED;
            }
            recent.reset(restored.sequence(), snapshot.marks());
            state = restored;
        }
        listeners.forEach(listener -> listener.accept(restored));
        return AppendOutcome.ADVANCED;
    }

    /**
     * Create a snapshot of the replica.
     *
     * @return the snapshot at the current sequence
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
     * Return an encoded snapshot after which every entry is retained, so that a peer can continue with entries. The
     * snapshot is cached as long as this holds.
     *
     * @return the encoded snapshot
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
     * Return entries for a peer that is behind, bounded by number and size.
     *
     * @param afterSequence the last sequence that the peer has
     * @param maxEntries the maximum number of entries
     * @param maxBytes the size in bytes of JSON from which on no further entry is added
     * @return the following entries, or empty if there are none or they are no longer retained
     */
    public synchronized Optional<LogBatch> batchAfter(long afterSequence, int maxEntries, long maxBytes) {
        return recent.batchAfter(afterSequence, maxEntries, maxBytes);
    }

    /**
     * Return whether the entries after a sequence are still retained.
     *
     * @param afterSequence the sequence
     * @return whether a peer at that sequence can continue with entries
     */
    public synchronized boolean isRetained(long afterSequence) {
        return afterSequence >= recent.retainedAfterSequence();
    }

    /**
     * Return the chain digest after an entry.
     *
     * @param sequence the sequence of the entry, zero for the start of the log
     * @return the chain digest, or empty if the replica no longer has it
     */
    public synchronized Optional<Digest> chainAt(long sequence) {
        if (sequence == state.sequence()) {
            return Optional.of(state.chain());
        }
        return sequence == 0 ? Optional.of(Digest.ZERO) : recent.chainAt(sequence);
    }

    /**
     * Find the mark of a ticket by its number.
     *
     * @param number the ticket's number
     * @return the mark, or empty if the ticket is not among the most recent ones
     */
    public synchronized Optional<TicketMark> mark(long number) {
        return recent.mark(number);
    }

    /**
     * Return the sequence after which the replica has the mark of every ticket.
     *
     * @return the sequence before the first mark, zero if no mark is missing
     */
    public synchronized long marksAfterSequence() {
        return recent.marksAfterSequence();
    }

    /**
     * Find one of the most recent tickets by its number.
     *
     * @param number the ticket's number
     * @return the ticket, or empty if it is not retained
     */
    public synchronized Optional<AcceptedTicket> ticket(long number) {
        return recent.ticket(number);
    }

    /**
     * Return the most recent tickets.
     *
     * @param maxTickets the maximum number of tickets
     * @return the tickets, newest first
     */
    public synchronized List<AcceptedTicket> latest(int maxTickets) {
        List<AcceptedTicket> latest = new ArrayList<>(recent.latest(maxTickets));
        Collections.reverse(latest);
        return latest;
    }
}
