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
 * Appends tickets to the ticket log in the key-value service.
 *
 * <p>An entry is first written under its digest; it is accepted by the compare-and-swap of the head that names it.
 * Calls block up to their deadline. Not thread-safe; several processes may use the same log.
 *
 * @see LogReplica
 */
public final class TicketLog {

    /** The maximum size of an entry in bytes of JSON; the key-value service accepts values of up to one megabyte. */
    public static final int MAX_ENTRY_BYTES = 900_000;

    private static final int MAX_FAILURES = 6;

    private static final int MAX_ENTRIES_SINCE_SNAPSHOT = 896;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final LogReader reader;

    private final TicketHistory history;

    private final List<TicketCheck> checks;

    private final Clock clock;

    private boolean compactionDue;

    /**
     * Create a log.
     *
     * @param store the key-value service
     * @param replica this process's replica, which is brought up to date by each call
     * @param checks the checks that a ticket has to pass
     * @param clock the source of monotonic and wall-clock time
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
     * Return the reader that keeps this process's replica up to date.
     *
     * @return the reader
     */
    public LogReader reader() {
        return reader;
    }

    /**
     * Return whether a compaction of the log is due.
     *
     * @return whether the entries since the snapshot had reached the threshold at the last acceptance
     */
    public boolean isCompactionDue() {
        return compactionDue;
    }

    /**
     * Submit a ticket, retrying until its outcome is known or the deadline has passed.
     *
     * @param entry the ticket and its submitter
     * @param deadlineNanos the deadline of the whole operation, an instant of {@link System#nanoTime()}
     * @return the outcome
     */
    public AcceptResult append(TicketEntry entry, long deadlineNanos) {
        Assert.notNull(entry, "entry");
        byte[] json = JsonCodec.write(entry);
        if (json.length > MAX_ENTRY_BYTES) {
            String detail = "the ticket has " + json.length + " bytes, permitted are " + MAX_ENTRY_BYTES;
            return new AcceptResult.Refused(TicketRefusal.OVERSIZED, detail);
        }
        return append(entry, json, new RetryContext(clock, deadlineNanos));
    }

    private AcceptResult append(TicketEntry entry, byte[] json, RetryContext retry) {
        SwapState swapState = new SwapState();
        String obstacle = "time ran out";
        while (!retry.isExpired()) {
            Step step = attempt(entry, json, swapState, retry);
            if (step.result != null) {
                return step.result;
            }
            if (step.obstacle == null) {
                continue;
            }
            obstacle = step.obstacle;
            retry.backOff();
            if (!swapState.possiblySwapped && retry.failures() >= MAX_FAILURES) {
                break;
            }
        }
        return swapState.possiblySwapped ? undecided() : new AcceptResult.NotAccepted(obstacle);
    }

    private Step attempt(TicketEntry entry, byte[] json, SwapState swapState, RetryContext retry) {
        Optional<VersionedHead> reading = reader.readHead(retry);
        if (reading.isEmpty()) {
            return Step.blocked(CatchUpResult.UNREADABLE.detail());
        }
        VersionedHead head = reading.get();
        CatchUpResult caughtUp = reader.catchUp(head.head(), retry);
        if (caughtUp != CatchUpResult.CURRENT) {
            return Step.blocked(caughtUp.detail());
        }
        if (swapState.revision != head.revision()) {
            Optional<Step> decided = decideBeforeWrite(entry, retry);
            if (decided.isPresent()) {
                return decided.get();
            }
        }
        if (head.head().digestsSinceSnapshot().size() >= MAX_ENTRIES_SINCE_SNAPSHOT) {
            return Step.blocked("the ticket log is waiting to be compacted");
        }
        if (!swapState.entryWritten && !writeEntry(entry, json, retry)) {
            return Step.blocked("the entry could not be written");
        }
        swapState.entryWritten = true;
        return swapHead(head, entry, swapState, retry);
    }

    private Step swapHead(VersionedHead reading, TicketEntry entry, SwapState swapState, RetryContext retry) {
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
            compactionDue = next.digestsSinceSnapshot().size() >= LogCompactor.COMPACTION_THRESHOLD_ENTRIES;
            return Step.done(new AcceptResult.Accepted(new AcceptedTicket(next.sequence(), chain, entry), false));
        }
        if (swapped instanceof StoreResult.Unknown<Long> unknown) {
            swapState.possiblySwapped = true;
            swapState.revision = reading.revision();
            return Step.blocked(unknown.detail());
        }
        if (swapped instanceof StoreResult.NotDone<Long> notDone) {
            return Step.blocked(notDone.detail());
        }
        return Step.retry();
    }

    private static AcceptResult undecided() {
        return new AcceptResult.Undecided("an answer of the key-value service was lost; submit the same ticket again");
    }

    private Optional<Step> decideBeforeWrite(TicketEntry entry, RetryContext retry) {
        MarkLookup lookup = history.find(entry.ticket().number(), retry);
        if (lookup instanceof MarkLookup.Unreadable) {
            return Optional.of(Step.blocked(CatchUpResult.UNREADABLE.detail()));
        }
        if (lookup instanceof MarkLookup.Found found) {
            return Optional.of(resolveSameNumber(entry, found.mark(), retry));
        }
        return check(entry).map(Step::done);
    }

    private Step resolveSameNumber(TicketEntry entry, TicketMark existing, RetryContext retry) {
        if (!existing.ticketDigest().equals(entry.ticket().digest().hex())) {
            String detail = "ticket " + entry.ticket().number() + " was accepted with other content";
            return Step.done(new AcceptResult.Refused(TicketRefusal.CONFLICT, detail));
        }
        boolean resubmitted = !existing.entryDigest().equals(entry.digest().hex());
        return history.read(existing, retry)
                .map(ticket -> Step.done(new AcceptResult.Accepted(ticket, resubmitted)))
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

    private boolean writeEntry(TicketEntry entry, byte[] json, RetryContext retry) {
        String key = LogKeys.entry(entry.digest());
        StoreResult<Long> written =
                store.compareAndSwap(key, 0, json, KeyValueStore.NO_LEASE, retry.callDeadlineNanos());
        return written.isDone() || written instanceof StoreResult.Conflict;
    }

    /** What this submission has done in the key-value service so far. */
    private static final class SwapState {

        private boolean entryWritten;

        private boolean possiblySwapped;

        /**
         * The expected revision of the last swap whose outcome is unknown. While the head still has this revision, the
         * swap may yet take effect, so that no check may refuse the ticket.
         */
        private long revision = -1;
    }

    /** The outcome of one attempt: a result, an obstacle, or neither if another process swapped the head first. */
    private record Step(AcceptResult result, String obstacle) {

        static Step done(AcceptResult result) {
            return new Step(result, null);
        }

        static Step blocked(String obstacle) {
            return new Step(null, obstacle);
        }

        static Step retry() {
            return new Step(null, null);
        }
    }
}
