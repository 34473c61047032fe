package org.arbutusstack.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ObjectId;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/**
 * Reads and extends the ticket log in the key-value service.
 *
 * <p>An entry is written first under its digest; the swap of the head's revision that names it is the moment of
 * acceptance. Calls block up to their deadline. To be used by one thread; several processes may use the same log.
 *
 * @see LogReplica
 */
public final class TicketLog {

    private final KeyValueStore store;

    private final LogReplica replica;

    private final List<TicketCheck> checks;

    private final Clock clock;

    /**
     * Creates a log.
     *
     * @param store the key-value service
     * @param replica this process's copy, which is brought up to date by the way
     * @param checks what a ticket must pass
     * @param clock the clock of the process
     */
    public TicketLog(KeyValueStore store, LogReplica replica, List<TicketCheck> checks, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.checks = List.copyOf(checks);
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Brings this process's copy up to the head.
     *
     * @param deadlineNanos when to give up
     * @return the revision of the head, or empty if the key-value service could not be read
     */
    public Optional<Long> catchUp(long deadlineNanos) {
        return readHead(deadlineNanos)
                .filter(head -> catchUpTo(head.head, deadlineNanos))
                .map(Head::revision);
    }

    /**
     * Submits a ticket.
     *
     * @param entry the ticket with who submitted it
     * @param deadlineNanos when to give up
     * @return what became of it
     */
    public AcceptResult append(TicketEntry entry, long deadlineNanos) {
        Assert.notNull(entry, "entry");
        boolean maybeSwapped = false;
        while (!clock.isPast(deadlineNanos)) {
            Optional<Head> read = readHead(deadlineNanos).filter(head -> catchUpTo(head.head, deadlineNanos));
            if (read.isEmpty()) {
                return maybeSwapped
                        ? undecided()
                        : new AcceptResult.NotAccepted("the key-value service is unavailable");
            }
            Head head = read.get();
            Optional<AcceptResult> settled = settle(entry);
            if (settled.isPresent()) {
                return settled.get();
            }
            if (!writeEntry(entry, deadlineNanos)) {
                return maybeSwapped ? undecided() : new AcceptResult.NotAccepted("the entry could not be written");
            }
            StoreResult<Long> swapped = swapHead(head, entry, deadlineNanos);
            maybeSwapped |= swapped instanceof StoreResult.Unknown;
            if (swapped instanceof StoreResult.NotDone<Long> notDone && !maybeSwapped) {
                return new AcceptResult.NotAccepted(notDone.detail());
            }
        }
        return maybeSwapped ? undecided() : new AcceptResult.NotAccepted("time ran out");
    }

    private static AcceptResult undecided() {
        return new AcceptResult.Undecided("an answer of the key-value service was lost; submit the same ticket again");
    }

    private Optional<AcceptResult> settle(TicketEntry entry) {
        Ticket ticket = entry.ticket();
        Optional<AcceptedTicket> same = replica.ticket(ticket.number());
        if (same.isPresent()) {
            return Optional.of(sameNumber(entry, same.get()));
        }
        DesiredState before = replica.state();
        for (ObjectId id : ticket.touched()) {
            if (before.ticketNumber(id) > ticket.number()) {
                String detail = id + " is at ticket " + before.ticketNumber(id);
                return Optional.of(new AcceptResult.Refused(TicketRefusal.SUPERSEDED, detail));
            }
        }
        DesiredState after = before.apply(entry);
        return checks.stream()
                .flatMap(check -> check.complaint(ticket, before, after).stream())
                .findFirst()
                .map(detail -> new AcceptResult.Refused(TicketRefusal.INVALID, detail));
    }

    private static AcceptResult sameNumber(TicketEntry entry, AcceptedTicket standing) {
        if (!standing.entry().ticket().digest().equals(entry.ticket().digest())) {
            String detail = "ticket " + entry.ticket().number() + " was accepted with other content";
            return new AcceptResult.Refused(TicketRefusal.CONFLICT, detail);
        }
        boolean again = !standing.entry().digest().equals(entry.digest());
        return new AcceptResult.Accepted(standing, again);
    }

    private boolean writeEntry(TicketEntry entry, long deadlineNanos) {
        String key = LogKeys.entry(entry.digest());
        while (!clock.isPast(deadlineNanos)) {
            StoreResult<Long> written =
                    store.compareAndSwap(key, 0, JsonCodec.write(entry), KeyValueStore.NO_LEASE, deadlineNanos);
            if (written.isDone() || written instanceof StoreResult.Conflict) {
                return true;
            }
            if (written instanceof StoreResult.NotDone) {
                return false;
            }
        }
        return false;
    }

    private StoreResult<Long> swapHead(Head head, TicketEntry entry, long deadlineNanos) {
        byte[] next = JsonCodec.write(head.head.append(entry.digest()));
        return store.compareAndSwap(LogKeys.HEAD, head.revision, next, KeyValueStore.NO_LEASE, deadlineNanos);
    }

    private Optional<Head> readHead(long deadlineNanos) {
        if (!(store.get(LogKeys.HEAD, deadlineNanos) instanceof StoreResult.Done<KeyValue> done)) {
            return Optional.empty();
        }
        KeyValue value = done.value();
        LogHead head = value.exists() ? JsonCodec.read(value.value(), LogHead.class) : LogHead.EMPTY;
        return Optional.of(new Head(head, value.revision()));
    }

    private boolean catchUpTo(LogHead head, long deadlineNanos) {
        long from = replica.state().sequence();
        if (from >= head.sequence()) {
            return true;
        }
        List<TicketEntry> missing = new ArrayList<>();
        int skip = (int) Math.max(0, from - head.tailAfterSequence());
        for (String digest : head.tail().subList(skip, head.tail().size())) {
            Optional<TicketEntry> entry = readEntry(new Digest(digest), deadlineNanos);
            if (entry.isEmpty()) {
                return false;
            }
            missing.add(entry.get());
        }
        return replica.append(head.tailAfterSequence() + skip, missing);
    }

    private Optional<TicketEntry> readEntry(Digest digest, long deadlineNanos) {
        if (!(store.get(LogKeys.entry(digest), deadlineNanos) instanceof StoreResult.Done<KeyValue> done)) {
            return Optional.empty();
        }
        if (!done.value().exists()) {
            return Optional.empty();
        }
        try {
            TicketEntry entry = JsonCodec.read(done.value().value(), TicketEntry.class);
            if (!entry.digest().equals(digest)) {
                throw new LedgerException("Could not read entry " + digest.hex() + ": its content has another digest");
            }
            return Optional.of(entry);
        } catch (ModelException malformed) {
            throw new LedgerException("Could not read entry " + digest.hex(), malformed);
        }
    }

    /** Holds the head with its revision. */
    private record Head(LogHead head, long revision) {}
}
