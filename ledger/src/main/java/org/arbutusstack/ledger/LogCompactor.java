package org.arbutusstack.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compacts the ticket log: replaces entries in the head by a snapshot.
 *
 * <p>Everything that the new head refers to is written first: the number pages, the next segment of the history and the
 * parts of the snapshot. The compare-and-swap of the head puts the snapshot in force; if another process swaps the head
 * first, or the call fails, the log stays valid. The parts of the previous snapshot are deleted after the swap. Calls
 * block up to their deadline. Not thread-safe.
 */
public final class LogCompactor {

    /** The number of entries since the snapshot from which on a compaction is due. */
    public static final int COMPACTION_THRESHOLD_ENTRIES = 384;

    private static final Logger logger = LoggerFactory.getLogger(LogCompactor.class);

    private static final int RETAINED_ENTRIES = 128;

    private static final int PART_BYTES = 512 * 1_024;

    private static final int MAX_FAILURES = 5;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final LogReader reader;

    private final Clock clock;

    /**
     * Create a compactor.
     *
     * @param store the key-value service
     * @param replica this process's replica, which is brought up to date by each call
     * @param clock the source of monotonic and wall-clock time
     */
    public LogCompactor(KeyValueStore store, LogReplica replica, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.reader = new LogReader(store, replica, clock);
    }

    /**
     * Compact the log if a compaction is due.
     *
     * @param deadlineNanos the deadline of the whole operation, an instant of {@link System#nanoTime()}
     * @return whether this call put a snapshot in force
     */
    public boolean compact(long deadlineNanos) {
        RetryContext retry = new RetryContext(clock, deadlineNanos);
        while (!retry.isExpired() && retry.failures() < MAX_FAILURES) {
            Optional<VersionedHead> reading = reader.readHead(retry);
            if (reading.isPresent() && !isDue(reading.get().head())) {
                return false;
            }
            if (reading.isPresent() && compact(reading.get(), retry)) {
                return true;
            }
            retry.backOff();
        }
        return false;
    }

    private static boolean isDue(LogHead head) {
        return head.digestsSinceSnapshot().size() >= COMPACTION_THRESHOLD_ENTRIES;
    }

    private boolean compact(VersionedHead reading, RetryContext retry) {
        LogHead head = reading.head();
        if (reader.catchUp(head, retry) != CatchUpResult.CURRENT) {
            return false;
        }
        LogSnapshot snapshot = replica.snapshot();
        List<TicketMark> marks = snapshot.marks().stream()
                .filter(mark -> mark.sequence() > head.snapshot().sequence())
                .toList();
        boolean isConsistent = snapshot.sequence() == head.sequence()
                && marks.size() == head.digestsSinceSnapshot().size();
        if (!isConsistent || !writePages(marks, retry)) {
            return false;
        }
        Optional<SnapshotReference> written = write(snapshot, head, retry);
        if (written.isEmpty()) {
            return false;
        }
        if (!swap(reading, written.get(), retry)) {
            deleteUnreferenced(reading, written.get(), retry);
            return false;
        }
        logger.info(
                "event=log-compacted sequence={} parts={}",
                head.sequence(),
                written.get().parts().size());
        head.snapshot().keys().forEach(key -> delete(key, retry));
        return true;
    }

    private boolean swap(VersionedHead reading, SnapshotReference snapshot, RetryContext retry) {
        LogHead next = reading.head().compact(snapshot, RETAINED_ENTRIES);
        return store.compareAndSwap(
                        LogKeys.HEAD,
                        reading.revision(),
                        JsonCodec.write(next),
                        KeyValueStore.NO_LEASE,
                        retry.callDeadlineNanos())
                .isDone();
    }

    /** Delete the parts of a snapshot if it is certain that no present or future head refers to it. */
    private void deleteUnreferenced(VersionedHead previous, SnapshotReference written, RetryContext retry) {
        Optional<VersionedHead> current = reader.readHead(retry);
        boolean isUnreferenced = current.isPresent()
                && current.get().revision() != previous.revision()
                && current.get().head().snapshot().sequence() != written.sequence();
        if (isUnreferenced) {
            written.keys().forEach(key -> delete(key, retry));
        }
    }

    private boolean writePages(List<TicketMark> marks, RetryContext retry) {
        Map<Long, List<TicketMark>> byPage = marks.stream()
                .collect(Collectors.groupingBy(
                        mark -> NumberPage.pageOf(mark.number()), TreeMap::new, Collectors.toList()));
        return byPage.entrySet().stream().allMatch(page -> writePage(page.getKey(), page.getValue(), retry));
    }

    private boolean writePage(long page, List<TicketMark> marks, RetryContext retry) {
        String key = LogKeys.numberPage(page);
        if (!(store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done)) {
            return false;
        }
        KeyValue value = done.value();
        NumberPage current = value.exists() ? JsonCodec.read(value.value(), NumberPage.class) : NumberPage.EMPTY;
        NumberPage merged = current.with(marks);
        if (merged.equals(current)) {
            return true;
        }
        return store.compareAndSwap(
                        key,
                        value.revision(),
                        JsonCodec.write(merged),
                        KeyValueStore.NO_LEASE,
                        retry.callDeadlineNanos())
                .isDone();
    }

    private Optional<SnapshotReference> write(LogSnapshot snapshot, LogHead head, RetryContext retry) {
        HistorySegment segment = new HistorySegment(
                head.snapshot().sequence(),
                head.digestsSinceSnapshot(),
                head.snapshot().history());
        if (!createIfAbsent(LogKeys.history(segment.digest().hex()), JsonCodec.write(segment), retry)) {
            return Optional.empty();
        }
        EncodedSnapshot encoded = EncodedSnapshot.of(snapshot);
        List<String> parts = new ArrayList<>();
        for (int offset = 0; offset < encoded.bytes().length; offset += PART_BYTES) {
            byte[] part = encoded.part(offset, PART_BYTES);
            String digest = Digest.of(part).hex();
            if (!createIfAbsent(LogKeys.snapshotPart(snapshot.sequence(), digest), part, retry)) {
                return Optional.empty();
            }
            parts.add(digest);
        }
        return Optional.of(new SnapshotReference(
                snapshot.sequence(),
                encoded.digest().hex(),
                parts,
                segment.digest().hex()));
    }

    private boolean createIfAbsent(String key, byte[] value, RetryContext retry) {
        StoreResult<Long> written =
                store.compareAndSwap(key, 0, value, KeyValueStore.NO_LEASE, retry.callDeadlineNanos());
        return written.isDone() || written instanceof StoreResult.Conflict;
    }

    private void delete(String key, RetryContext retry) {
        if (store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done
                && done.value().exists()) {
            store.delete(key, done.value().revision(), retry.callDeadlineNanos());
        }
    }
}
