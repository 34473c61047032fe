package org.arbutusstack.ledger;

import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ObjectId;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
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

    /** The longest entry that the log takes, in bytes of JSON; the key-value service takes values up to a megabyte. */
    public static final int LONGEST_ENTRY_BYTES = 900_000;

    private static final int MOST_FAILURES = 6;

    private static final int MOST_SINCE_SNAPSHOT = 896;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final LogReader reader;

    private final TicketHistory history;

    private final List<TicketCheck> checks;

    private final Clock clock;

    private boolean compactionDue;

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
        this.reader = new LogReader(store, replica, clock);
        this.history = new TicketHistory(store, replica, clock);
    }

    /**
     * Gives access to the reader that keeps this process's copy up to date.
     *
     * @return the reader
     */
    public LogReader reader() {
        return reader;
    }

    /**
     * Tells whether the log is to be compacted.
     *
     * @return whether the head was found long at the last acceptance
     */
    public boolean isCompactionDue() {
        return compactionDue;
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
        byte[] json = JsonCodec.write(entry);
        if (json.length > LONGEST_ENTRY_BYTES) {
            String detail = "the ticket has " + json.length + " bytes, permitted are " + LONGEST_ENTRY_BYTES;
            return new AcceptResult.Refused(TicketRefusal.OVERSIZED, detail);
        }
        return append(entry, json, new Retry(clock, deadlineNanos));
    }

    private AcceptResult append(TicketEntry entry, byte[] json, Retry retry) {
        SwapState swapState = new SwapState();
        String obstacle = "time ran out";
        while (!retry.isOver()) {
            Step step = attempt(entry, json, swapState, retry);
            if (step.result != null) {
                return step.result;
            }
            if (step.obstacle == null) {
                continue;
            }
            obstacle = step.obstacle;
            retry.failed();
            if (!swapState.maybeSwapped && retry.failures() >= MOST_FAILURES) {
                break;
            }
        }
        return swapState.maybeSwapped ? undecided() : new AcceptResult.NotAccepted(obstacle);
    }

    private Step attempt(TicketEntry entry, byte[] json, SwapState swapState, Retry retry) {
        Optional<HeadReading> reading = reader.readHead(retry);
        if (reading.isEmpty()) {
            return Step.blocked(CatchUpResult.UNREADABLE.detail());
        }
        HeadReading head = reading.get();
        CatchUpResult caughtUp = reader.catchUp(head.head(), retry);
        if (caughtUp != CatchUpResult.CURRENT) {
            return Step.blocked(caughtUp.detail());
        }
        if (swapState.revision != head.revision()) {
            Optional<Step> settled = settle(entry, retry);
            if (settled.isPresent()) {
                return settled.get();
            }
        }
        if (head.head().sinceSnapshot().size() >= MOST_SINCE_SNAPSHOT) {
            return Step.blocked("the ticket log is waiting to be compacted");
        }
        if (!swapState.entryWritten && !writeEntry(entry, json, retry)) {
            return Step.blocked("the entry could not be written");
        }
        swapState.entryWritten = true;
        return swapHead(head, entry, swapState, retry);
    }

    private Step swapHead(HeadReading reading, TicketEntry entry, SwapState swapState, Retry retry) {
        LogHead next = reading.head().append(entry.digest());
        StoreResult<Long> swapped = store.compareAndSwap(
                LogKeys.HEAD,
                reading.revision(),
                JsonCodec.write(next),
                KeyValueStore.NO_LEASE,
                retry.callDeadlineNanos());
        if (swapped instanceof StoreResult.Done) {
            Digest chain = new Digest(next.chain());
            replica.append(reading.head().sequence(), List.of(entry), chain);
            compactionDue = next.sinceSnapshot().size() >= LogCompactor.DUE_ENTRIES;
            return Step.done(new AcceptResult.Accepted(new AcceptedTicket(next.sequence(), chain, entry), false));
        }
        if (swapped instanceof StoreResult.Unknown<Long> unknown) {
            swapState.maybeSwapped = true;
            swapState.revision = reading.revision();
            return Step.blocked(unknown.detail());
        }
        if (swapped instanceof StoreResult.NotDone<Long> notDone) {
            return Step.blocked(notDone.detail());
        }
        return Step.again();
    }

    private static AcceptResult undecided() {
        return new AcceptResult.Undecided("an answer of the key-value service was lost; submit the same ticket again");
    }

    private Optional<Step> settle(TicketEntry entry, Retry retry) {
        MarkLookup lookup = history.find(entry.ticket().number(), retry);
        if (lookup instanceof MarkLookup.Unreadable) {
            return Optional.of(Step.blocked(CatchUpResult.UNREADABLE.detail()));
        }
        if (lookup instanceof MarkLookup.Found found) {
            return Optional.of(sameNumber(entry, found.mark(), retry));
        }
        return check(entry).map(Step::done);
    }

    private Step sameNumber(TicketEntry entry, TicketMark standing, Retry retry) {
        if (!standing.ticketDigest().equals(entry.ticket().digest().hex())) {
            String detail = "ticket " + entry.ticket().number() + " was accepted with other content";
            return Step.done(new AcceptResult.Refused(TicketRefusal.CONFLICT, detail));
        }
        boolean again = !standing.entryDigest().equals(entry.digest().hex());
        return history.read(standing, retry)
                .map(ticket -> Step.done(new AcceptResult.Accepted(ticket, again)))
                .orElseGet(() -> Step.blocked("the entry of the ticket could not be read"));
    }

    private Optional<AcceptResult> check(TicketEntry entry) {
        Ticket ticket = entry.ticket();
        DesiredState before = replica.state();
        for (ObjectId id : ticket.touched()) {
            if (before.ticketNumber(id) > ticket.number()) {
                String detail = id + " is at ticket " + before.ticketNumber(id);
                return Optional.of(new AcceptResult.Refused(TicketRefusal.SUPERSEDED, detail));
            }
        }
        DesiredState after = before.apply(entry);
        return checks.stream()
                .flatMap(check -> check.findViolation(ticket, before, after).stream())
                .findFirst()
                .map(detail -> new AcceptResult.Refused(TicketRefusal.INVALID, detail));
    }

    private boolean writeEntry(TicketEntry entry, byte[] json, Retry retry) {
        String key = LogKeys.entry(entry.digest());
        StoreResult<Long> written =
                store.compareAndSwap(key, 0, json, KeyValueStore.NO_LEASE, retry.callDeadlineNanos());
        return written.isDone() || written instanceof StoreResult.Conflict;
    }

    /** Remembers what this submission has done in the key-value service. */
    private static final class SwapState {

        private boolean entryWritten;

        private boolean maybeSwapped;

        /** The head's revision of the last swap whose answer is missing; a check may not refuse while it stands. */
        private long revision = -1;
    }

    /** Tells what one attempt came to: a result, an obstacle, or neither after a lost race. */
    private record Step(AcceptResult result, String obstacle) {

        static Step done(AcceptResult result) {
            return new Step(result, null);
        }

        static Step blocked(String obstacle) {
            return new Step(null, obstacle);
        }

        static Step again() {
            return new Step(null, null);
        }
    }
}
