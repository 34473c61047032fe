package org.arbutusstack.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.ticket.TicketEntry;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the ticket log from the key-value service into a copy, and verifies what it reads.
 *
 * <p>Calls block up to their deadline. To be used by one thread.
 *
 * @see TicketLog
 */
public final class LogReader {

    private static final Logger logger = LoggerFactory.getLogger(LogReader.class);

    private static final int MOST_FAILURES = 3;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final Clock clock;

    /**
     * Creates a reader.
     *
     * @param store the key-value service
     * @param replica the copy to bring up to date
     * @param clock the clock of the process
     */
    public LogReader(KeyValueStore store, LogReplica replica, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Reads the head and brings the copy up to it.
     *
     * @param deadlineNanos when to give up
     * @return the revision of the head, or empty if the copy could not be brought up to the head
     */
    public Optional<Long> catchUp(long deadlineNanos) {
        Retry retry = new Retry(clock, deadlineNanos);
        while (!retry.isOver() && retry.failures() < MOST_FAILURES) {
            Optional<HeadReading> reading = readHead(retry);
            CatchUpResult result = reading.isEmpty()
                    ? CatchUpResult.UNREADABLE
                    : catchUp(reading.get().head(), retry);
            if (result == CatchUpResult.CURRENT) {
                return reading.map(HeadReading::revision);
            }
            if (result != CatchUpResult.UNREADABLE) {
                return Optional.empty();
            }
            retry.failed();
        }
        return Optional.empty();
    }

    /**
     * Brings the copy up to a head that a watch told.
     *
     * @param value the value of the head's key
     * @param deadlineNanos when to give up
     * @return how far it came
     */
    public CatchUpResult follow(KeyValue value, long deadlineNanos) {
        Optional<HeadReading> reading = parseHead(value);
        return reading.isEmpty()
                ? CatchUpResult.CORRUPT
                : catchUp(reading.get().head(), new Retry(clock, deadlineNanos));
    }

    Optional<HeadReading> readHead(Retry retry) {
        if (!(store.get(LogKeys.HEAD, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done)) {
            return Optional.empty();
        }
        return parseHead(done.value());
    }

    private static Optional<HeadReading> parseHead(KeyValue value) {
        try {
            return Optional.of(HeadReading.of(value));
        } catch (ModelException malformed) {
            logger.error("event=log-head-malformed revision={} detail={}", value.revision(), malformed.getMessage());
            return Optional.empty();
        }
    }

    CatchUpResult catchUp(LogHead head, Retry retry) {
        long from = replica.state().sequence();
        if (from > head.sequence()) {
            return CatchUpResult.STALE;
        }
        if (from < head.tailAfterSequence()) {
            return CatchUpResult.UNREADABLE;
        }
        int known = (int) (from - head.tailAfterSequence());
        List<TicketEntry> missing = new ArrayList<>();
        for (String digest : head.tail().subList(known, head.tail().size())) {
            CatchUpResult result = readEntry(new Digest(digest), retry, missing);
            if (result != CatchUpResult.CURRENT) {
                return result;
            }
        }
        return switch (replica.append(from, missing, new Digest(head.chain()))) {
            case ADVANCED -> CatchUpResult.CURRENT;
            case KNOWN -> replica.state().sequence() == head.sequence() ? CatchUpResult.CURRENT : CatchUpResult.STALE;
            case GAP -> CatchUpResult.UNREADABLE;
            case DIVERGED -> diverged(head);
        };
    }

    private CatchUpResult diverged(LogHead head) {
        logger.error(
                "event=log-diverged head_sequence={} head_chain={} sequence={} chain={}",
                head.sequence(),
                head.chain(),
                replica.state().sequence(),
                replica.state().chain().hex());
        return CatchUpResult.CORRUPT;
    }

    private CatchUpResult readEntry(Digest digest, Retry retry, List<TicketEntry> into) {
        Optional<KeyValue> value = readKey(LogKeys.entry(digest), retry);
        if (value.isEmpty()) {
            return CatchUpResult.UNREADABLE;
        }
        try {
            TicketEntry entry = JsonCodec.read(value.get().value(), TicketEntry.class);
            if (entry.digest().equals(digest)) {
                into.add(entry);
                return CatchUpResult.CURRENT;
            }
            logger.error("event=log-entry-digest-wrong digest={}", digest.hex());
        } catch (ModelException malformed) {
            logger.error("event=log-entry-malformed digest={} detail={}", digest.hex(), malformed.getMessage());
        }
        return CatchUpResult.CORRUPT;
    }

    private Optional<KeyValue> readKey(String key, Retry retry) {
        if (store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done) {
            return Optional.of(done.value()).filter(KeyValue::exists);
        }
        return Optional.empty();
    }
}
