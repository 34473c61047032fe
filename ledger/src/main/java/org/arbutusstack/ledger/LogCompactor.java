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
 * Shortens the head of the ticket log by a snapshot.
 *
 * <p>What the head is to name is written first: the pages of ticket numbers, the history's next segment, the snapshot's
 * parts. The swap of the head's revision puts it in force; a race lost or an answer lost leaves the log as it is. Parts
 * of the snapshot before are deleted after the swap. Calls block up to their deadline. Used by one thread.
 */
public final class LogCompactor {

    /** The entries since the snapshot at which a compaction is due. */
    public static final int DUE_ENTRIES = 384;

    private static final Logger logger = LoggerFactory.getLogger(LogCompactor.class);

    private static final int KEPT_ENTRIES = 128;

    private static final int PART_BYTES = 512 * 1_024;

    private static final int MOST_FAILURES = 5;

    private final KeyValueStore store;

    private final LogReplica replica;

    private final LogReader reader;

    private final Clock clock;

    /**
     * Creates a compactor.
     *
     * @param store the key-value service
     * @param replica this process's copy, which is brought up to date by the way
     * @param clock the clock of the process
     */
    public LogCompactor(KeyValueStore store, LogReplica replica, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.reader = new LogReader(store, replica, clock);
    }

    /**
     * Compacts the log if that is due.
     *
     * @param deadlineNanos when to give up
     * @return whether this call put a snapshot in force
     */
    public boolean compact(long deadlineNanos) {
        Retry retry = new Retry(clock, deadlineNanos);
        while (!retry.isOver() && retry.failures() < MOST_FAILURES) {
            Optional<HeadReading> reading = reader.readHead(retry);
            if (reading.isPresent() && !isDue(reading.get().head())) {
                return false;
            }
            if (reading.isPresent() && compact(reading.get(), retry)) {
                return true;
            }
            retry.failed();
        }
        return false;
    }

    private static boolean isDue(LogHead head) {
        return head.sinceSnapshot().size() >= DUE_ENTRIES;
    }

    private boolean compact(HeadReading reading, Retry retry) {
        LogHead head = reading.head();
        if (reader.catchUp(head, retry) != CatchUpResult.CURRENT) {
            return false;
        }
        LogSnapshot snapshot = replica.snapshot();
        List<TicketMark> marks = snapshot.marks().stream()
                .filter(mark -> mark.sequence() > head.snapshot().sequence())
                .toList();
        boolean fits = snapshot.sequence() == head.sequence()
                && marks.size() == head.sinceSnapshot().size();
        if (!fits || !writePages(marks, retry)) {
            return false;
        }
        Optional<SnapshotReference> written = write(snapshot, head, retry);
        if (written.isEmpty()) {
            return false;
        }
        if (!swap(reading, written.get(), retry)) {
            withdraw(reading, written.get(), retry);
            return false;
        }
        logger.info(
                "event=log-compacted sequence={} parts={}",
                head.sequence(),
                written.get().parts().size());
        head.snapshot().keys().forEach(key -> delete(key, retry));
        return true;
    }

    private boolean swap(HeadReading reading, SnapshotReference taken, Retry retry) {
        LogHead next = reading.head().compact(taken, KEPT_ENTRIES);
        return store.compareAndSwap(
                        LogKeys.HEAD,
                        reading.revision(),
                        JsonCodec.write(next),
                        KeyValueStore.NO_LEASE,
                        retry.callDeadlineNanos())
                .isDone();
    }

    /** Deletes the parts of a snapshot once it is certain that no head names it or ever will. */
    private void withdraw(HeadReading former, SnapshotReference written, Retry retry) {
        Optional<HeadReading> present = reader.readHead(retry);
        boolean isUnnamed = present.isPresent()
                && present.get().revision() != former.revision()
                && present.get().head().snapshot().sequence() != written.sequence();
        if (isUnnamed) {
            written.keys().forEach(key -> delete(key, retry));
        }
    }

    private boolean writePages(List<TicketMark> marks, Retry retry) {
        Map<Long, List<TicketMark>> byPage = marks.stream()
                .collect(Collectors.groupingBy(
                        mark -> NumberPage.pageOf(mark.number()), TreeMap::new, Collectors.toList()));
        return byPage.entrySet().stream().allMatch(page -> writePage(page.getKey(), page.getValue(), retry));
    }

    private boolean writePage(long page, List<TicketMark> marks, Retry retry) {
        String key = LogKeys.numberPage(page);
        if (!(store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done)) {
            return false;
        }
        KeyValue value = done.value();
        NumberPage present = value.exists() ? JsonCodec.read(value.value(), NumberPage.class) : NumberPage.EMPTY;
        NumberPage merged = present.with(marks);
        if (merged.equals(present)) {
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

    private Optional<SnapshotReference> write(LogSnapshot snapshot, LogHead head, Retry retry) {
        HistorySegment segment = new HistorySegment(
                head.snapshot().sequence(),
                head.sinceSnapshot(),
                head.snapshot().history());
        if (!create(LogKeys.history(segment.digest().hex()), JsonCodec.write(segment), retry)) {
            return Optional.empty();
        }
        EncodedSnapshot encoded = EncodedSnapshot.of(snapshot);
        List<String> parts = new ArrayList<>();
        for (int offset = 0; offset < encoded.bytes().length; offset += PART_BYTES) {
            byte[] part = encoded.part(offset, PART_BYTES);
            String digest = Digest.of(part).hex();
            if (!create(LogKeys.snapshotPart(snapshot.sequence(), digest), part, retry)) {
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

    private boolean create(String key, byte[] value, Retry retry) {
        StoreResult<Long> written =
                store.compareAndSwap(key, 0, value, KeyValueStore.NO_LEASE, retry.callDeadlineNanos());
        return written.isDone() || written instanceof StoreResult.Conflict;
    }

    private void delete(String key, Retry retry) {
        if (store.get(key, retry.callDeadlineNanos()) instanceof StoreResult.Done<KeyValue> done
                && done.value().exists()) {
            store.delete(key, done.value().revision(), retry.callDeadlineNanos());
        }
    }
}
