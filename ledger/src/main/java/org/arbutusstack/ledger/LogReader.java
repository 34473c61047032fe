package org.arbutusstack.ledger;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    /** The entries read for a catch-up that has not come to its end yet, by digest. */
    private final Map<Digest, TicketEntry> pending = new HashMap<>();

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
        if (replica.state().sequence() < head.tailAfterSequence()) {
            CatchUpResult installed = install(head.snapshot(), retry);
            if (installed != CatchUpResult.CURRENT) {
                return installed;
            }
        }
        long from = replica.state().sequence();
        if (from > head.sequence()) {
            return CatchUpResult.STALE;
        }
        if (from < head.tailAfterSequence()) {
            return CatchUpResult.CORRUPT;
        }
        int known = (int) (from - head.tailAfterSequence());
        return replay(head, from, head.tail().subList(known, head.tail().size()), retry);
    }

    private CatchUpResult replay(LogHead head, long from, List<String> digests, Retry retry) {
        List<TicketEntry> missing = new ArrayList<>();
        for (String digest : digests) {
            Optional<TicketEntry> entry = readEntry(new Digest(digest), retry);
            if (entry.isEmpty()) {
                return retry.hasReadCorrupt() ? CatchUpResult.CORRUPT : CatchUpResult.UNREADABLE;
            }
            pending.put(new Digest(digest), entry.get());
            missing.add(entry.get());
        }
        pending.clear();
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

    private CatchUpResult install(SnapshotReference reference, Retry retry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String key : reference.keys()) {
            Optional<KeyValue> part = readKey(key, retry);
            if (part.isEmpty()) {
                return CatchUpResult.UNREADABLE;
            }
            bytes.writeBytes(part.get().value());
        }
        if (!Digest.of(bytes.toByteArray()).hex().equals(reference.digest())) {
            logger.error("event=snapshot-digest-wrong sequence={}", reference.sequence());
            return CatchUpResult.CORRUPT;
        }
        try {
            LogSnapshot snapshot = JsonCodec.read(bytes.toByteArray(), LogSnapshot.class);
            logger.info("event=snapshot-read sequence={} bytes={}", snapshot.sequence(), bytes.size());
            return replica.install(snapshot).isHeld() ? CatchUpResult.CURRENT : CatchUpResult.CORRUPT;
        } catch (ModelException malformed) {
            logger.error("event=snapshot-malformed sequence={}", reference.sequence(), malformed);
            return CatchUpResult.CORRUPT;
        }
    }

    Optional<TicketEntry> readEntry(Digest digest, Retry retry) {
        TicketEntry already = pending.get(digest);
        if (already != null) {
            return Optional.of(already);
        }
        Optional<KeyValue> value = readKey(LogKeys.entry(digest), retry);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        try {
            TicketEntry entry = JsonCodec.read(value.get().value(), TicketEntry.class);
            if (entry.digest().equals(digest)) {
                return Optional.of(entry);
            }
            logger.error("event=log-entry-digest-wrong digest={}", digest.hex());
        } catch (ModelException malformed) {
            logger.error("event=log-entry-malformed digest={} detail={}", digest.hex(), malformed.getMessage());
        }
        retry.readCorrupt();
        return Optional.empty();
    }

    private Optional<KeyValue> readKey(String key, Retry retry) {
        if (store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done) {
            return Optional.of(done.value()).filter(KeyValue::exists);
        }
        return Optional.empty();
    }
}
