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
 * Finds accepted tickets by number, in the replica if it has them and otherwise in the key-value service.
 *
 * <p>The number pages list every ticket up to the head's snapshot; the replica has the marks of the later ones. Calls
 * block up to their deadline. Not thread-safe.
 */
public final class TicketHistory {

    private static final Logger logger = LoggerFactory.getLogger(TicketHistory.class);

    private final KeyValueStore store;

    private final LogReplica replica;

    private final LogReader reader;

    private final Clock clock;

    /**
     * Create a history.
     *
     * @param store the key-value service
     * @param replica this process's replica
     * @param clock the source of monotonic and wall-clock time
     */
    public TicketHistory(KeyValueStore store, LogReplica replica, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.reader = new LogReader(store, replica, clock);
    }

    /**
     * Find a ticket, including one that the replica no longer retains.
     *
     * @param number the ticket's number
     * @param deadlineNanos the deadline of the whole operation, an instant of {@link System#nanoTime()}
     * @return the ticket, or empty if it is unknown or cannot be read from the key-value service
     */
    public Optional<AcceptedTicket> find(long number, long deadlineNanos) {
        RetryContext retry = new RetryContext(clock, deadlineNanos);
        return find(number, retry) instanceof MarkLookup.Found found ? read(found.mark(), retry) : Optional.empty();
    }

    MarkLookup find(long number, RetryContext retry) {
        Optional<TicketMark> recent = replica.mark(number);
        if (recent.isPresent()) {
            return new MarkLookup.Found(recent.get());
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

    Optional<AcceptedTicket> read(TicketMark mark, RetryContext retry) {
        return replica.ticket(mark.number()).or(() -> reader.readEntry(new Digest(mark.entryDigest()), retry)
                .map(entry -> new AcceptedTicket(mark.sequence(), mark.chainDigest(), entry)));
    }
}
