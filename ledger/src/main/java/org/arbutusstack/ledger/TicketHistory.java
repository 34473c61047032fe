package org.arbutusstack.ledger;

import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds accepted tickets by number, in the copy if it has them and else in the key-value service.
 *
 * <p>The pages of numbers hold every ticket up to the head's snapshot; the copy holds the marks of those after it.
 * Calls block up to their deadline. Used by one thread.
 */
public final class TicketHistory {

    private static final Logger logger = LoggerFactory.getLogger(TicketHistory.class);

    private final KeyValueStore store;

    private final LogReplica replica;

    private final LogReader reader;

    private final Clock clock;

    /**
     * Creates a history.
     *
     * @param store the key-value service
     * @param replica this process's copy
     * @param clock the clock of the process
     */
    public TicketHistory(KeyValueStore store, LogReplica replica, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.reader = new LogReader(store, replica, clock);
    }

    /**
     * Finds a ticket, also one that the copy keeps no longer.
     *
     * @param number the ticket's number
     * @param deadlineNanos when to give up
     * @return the ticket, or empty if it is unknown or the key-value service does not tell
     */
    public Optional<AcceptedTicket> find(long number, long deadlineNanos) {
        Retry retry = new Retry(clock, deadlineNanos);
        return find(number, retry) instanceof MarkLookup.Found found ? read(found.mark(), retry) : Optional.empty();
    }

    MarkLookup find(long number, Retry retry) {
        Optional<TicketMark> kept = replica.mark(number);
        if (kept.isPresent()) {
            return new MarkLookup.Found(kept.get());
        }
        boolean isNew = number > replica.state().highestNumber();
        if (isNew || replica.marksAfterSequence() == 0) {
            return new MarkLookup.Absent();
        }
        String key = LogKeys.numberPage(NumberPage.pageOf(number));
        if (!(store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done)) {
            return new MarkLookup.Unreadable();
        }
        return find(number, done.value());
    }

    private static MarkLookup find(long number, KeyValue page) {
        if (!page.exists()) {
            return new MarkLookup.Absent();
        }
        try {
            return JsonCodec.read(page.value(), NumberPage.class)
                    .find(number)
                    .<MarkLookup>map(MarkLookup.Found::new)
                    .orElseGet(MarkLookup.Absent::new);
        } catch (ModelException malformed) {
            logger.error("event=number-page-malformed key={} detail={}", page.key(), malformed.getMessage());
            return new MarkLookup.Unreadable();
        }
    }

    Optional<AcceptedTicket> read(TicketMark mark, Retry retry) {
        return replica.ticket(mark.number()).or(() -> reader.readEntry(new Digest(mark.entryDigest()), retry)
                .map(entry -> new AcceptedTicket(mark.sequence(), mark.chainDigest(), entry)));
    }
}
