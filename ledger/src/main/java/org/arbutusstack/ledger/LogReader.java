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
 * Reads the ticket log from the key-value service into a replica and verifies the digests of everything it reads.
 *
 * <p>Calls block up to their deadline. Not thread-safe.
 *
 * @see TicketLog
 */
public final class LogReader {

    private static final Logger logger = LoggerFactory.getLogger(LogReader.class);

    private static final int MAX_FAILURES = 3;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final Clock clock;

    /** The entries read by a catch-up that is not complete yet, by digest; a retry does not read them again. */
    private final Map<Digest, TicketEntry> entriesRead = new HashMap<>();

    /**
     * Create a reader.
     *
     * @param store the key-value service
     * @param replica the replica to bring up to date
     * @param clock the source of monotonic and wall-clock time
     */
    public LogReader(KeyValueStore store, LogReplica replica, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Read the head and bring the replica up to it.
     *
     * @param deadlineNanos the deadline of the whole operation, an instant of {@link System#nanoTime()}
     * @return the revision of the head, or empty if the replica could not be brought up to it
     */
    public Optional<Long> catchUp(long deadlineNanos) {
        RetryContext retry = new RetryContext(clock, deadlineNanos);
        while (!retry.isExpired() && retry.failures() < MAX_FAILURES) {
            Optional<VersionedHead> reading = readHead(retry);
            CatchUpResult result = reading.isEmpty()
                    ? CatchUpResult.UNREADABLE
                    : catchUp(reading.get().head(), retry);
            if (result == CatchUpResult.CURRENT) {
                return reading.map(VersionedHead::revision);
            }
            if (result != CatchUpResult.UNREADABLE) {
                return Optional.empty();
            }
            retry.backOff();
        }
        return Optional.empty();
    }

    /**
     * Bring the replica up to a head that was received from a watch.
     *
     * @param value the value of the head's key
     * @param deadlineNanos the deadline of the whole operation, an instant of {@link System#nanoTime()}
     * @return the result; {@link CatchUpResult#CORRUPT} if the value is not a valid head
     */
    public CatchUpResult catchUpTo(KeyValue value, long deadlineNanos) {
        Optional<VersionedHead> reading = parseHead(value);
        return reading.isEmpty()
                ? CatchUpResult.CORRUPT
                : catchUp(reading.get().head(), new RetryContext(clock, deadlineNanos));
    }

    Optional<VersionedHead> readHead(RetryContext retry) {
        if (!(store.get(LogKeys.HEAD, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done)) {
            return Optional.empty();
        }
        return parseHead(done.value());
    }

    private static Optional<VersionedHead> parseHead(KeyValue value) {
        try {
            return Optional.of(VersionedHead.of(value));
        } catch (ModelException malformed) {
            logger.error("event=log-head-malformed revision={} detail={}", value.revision(), malformed.getMessage());
            return Optional.empty();
        }
    }

    CatchUpResult catchUp(LogHead head, RetryContext retry) {
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

    private CatchUpResult replay(LogHead head, long from, List<String> digests, RetryContext retry) {
        List<TicketEntry> missing = new ArrayList<>();
        for (String digest : digests) {
            Optional<TicketEntry> entry = readEntry(new Digest(digest), retry);
            if (entry.isEmpty()) {
                return retry.hasCorruptRead() ? CatchUpResult.CORRUPT : CatchUpResult.UNREADABLE;
            }
            entriesRead.put(new Digest(digest), entry.get());
            missing.add(entry.get());
        }
        entriesRead.clear();
        return switch (replica.append(from, missing, new Digest(head.chain()))) {
            case ADVANCED -> CatchUpResult.CURRENT;
            case KNOWN -> replica.state().sequence() == head.sequence() ? CatchUpResult.CURRENT : CatchUpResult.STALE;
            case GAP -> CatchUpResult.UNREADABLE;
            case DIVERGED -> reportDivergence(head);
        };
    }

    private CatchUpResult reportDivergence(LogHead head) {
        logger.error(
                "event=log-diverged head_sequence={} head_chain={} sequence={} chain={}",
                head.sequence(),
                head.chain(),
                replica.state().sequence(),
                replica.state().chain().hex());
        return CatchUpResult.CORRUPT;
    }

    private CatchUpResult install(SnapshotReference reference, RetryContext retry) {
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
            return replica.install(snapshot).isApplied() ? CatchUpResult.CURRENT : CatchUpResult.CORRUPT;
        } catch (ModelException malformed) {
            logger.error("event=snapshot-malformed sequence={}", reference.sequence(), malformed);
            return CatchUpResult.CORRUPT;
        }
    }

    Optional<TicketEntry> readEntry(Digest digest, RetryContext retry) {
        TicketEntry cached = entriesRead.get(digest);
        if (cached != null) {
            return Optional.of(cached);
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
        retry.markCorruptRead();
        return Optional.empty();
    }

    private Optional<KeyValue> readKey(String key, RetryContext retry) {
        if (store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done) {
            return Optional.of(done.value()).filter(KeyValue::exists);
        }
        return Optional.empty();
    }
}
