package org.arbutusstack.side.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Access to one bucket, read and written by compare-and-swap on the revision last read.
 *
 * <p>A concurrent write of another side makes the swap fail; the bucket is then read again and the changes are applied
 * to the new value. Not thread-safe; blocks its thread on calls to the key-value service.
 */
final class ClaimBucket {

    private static final Logger logger = LoggerFactory.getLogger(ClaimBucket.class);

    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_ATTEMPTS = 8;

    private static final long MILLIS_PER_SECOND = 1_000;

    private static final long LEASE_MARGIN_SECONDS = 3_600;

    private final KeyValueStore store;

    private final Clock clock;

    private final ClaimLimits limits;

    private final String key;

    private final String writer;

    private final ClaimMetrics metrics;

    private final SegmentIndex index = new SegmentIndex();

    private BucketHead head = BucketHead.EMPTY;

    private long revision;

    private int headBytes;

    private boolean headCurrent;

    ClaimBucket(KeyValueStore store, Clock clock, ClaimLimits limits, String key, String writer, ClaimMetrics metrics) {
        this.store = store;
        this.clock = clock;
        this.limits = limits;
        this.key = key;
        this.writer = writer;
        this.metrics = metrics;
    }

    /**
     * Make changes durable in one write.
     *
     * @param changes the changes to commit
     * @return whether they are durable, and a result for each claim
     */
    CommitResult commit(List<ClaimChange> changes) {
        boolean uncertain = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (!headCurrent && !readHead()) {
                return notCommitted(changes, uncertain, "the key-value service does not answer");
            }
            dropExpiredSegments();
            Map<String, ClaimRecord> sealed = findSealed(changes);
            if (sealed == null) {
                return notCommitted(changes, uncertain, "a segment of claims could not be read");
            }
            ClaimTable.Update update = ClaimTable.apply(head, sealed, changes, writer, clock.wallMillis(), limits);
            if (!update.changed()) {
                return committed(update.results());
            }
            if (exceedsLimit(changes)) {
                return notCommitted(changes, uncertain, "the bucket is full");
            }
            StoreResult<Long> written = write(sealIfLarge(update.next()));
            if (written.isDone()) {
                return committed(update.results());
            }
            if (written instanceof StoreResult.NotDone<Long> notDone) {
                return notCommitted(changes, uncertain, notDone.detail());
            }
            uncertain |= written instanceof StoreResult.Unknown;
        }
        return notCommitted(changes, uncertain, "other sides write the same bucket");
    }

    /**
     * Return the results of a failed commit. Repeats are answered from the value last read, as a claim in it remains
     * valid; the other claims are refused.
     */
    private CommitResult notCommitted(List<ClaimChange> changes, boolean uncertain, String detail) {
        List<ClaimResult> known = ClaimTable.apply(head, Map.of(), changes, writer, clock.wallMillis(), limits)
                .results();
        List<ClaimResult> results = new ArrayList<>();
        for (ClaimResult result : known) {
            results.add(result instanceof ClaimResult.Granted ? new ClaimResult.Unavailable(detail) : result);
        }
        return new CommitResult(false, uncertain, results);
    }

    private static CommitResult committed(List<ClaimResult> results) {
        return new CommitResult(true, false, results);
    }

    private boolean exceedsLimit(List<ClaimChange> changes) {
        return headBytes > ClaimLimits.MAX_HEAD_BYTES
                && changes.stream().anyMatch(change -> change instanceof ClaimChange.Claim);
    }

    private boolean readHead() {
        metrics.read();
        if (!(store.get(key, clock.deadlineNanos(CALL_TIMEOUT_MILLIS)) instanceof StoreResult.Done<KeyValue> done)) {
            return false;
        }
        KeyValue value = done.value();
        try {
            head = value.exists() ? JsonCodec.read(value.value(), BucketHead.class) : BucketHead.EMPTY;
        } catch (ModelException malformed) {
            logger.error("event=claim-bucket-malformed key={}", key, malformed);
            return false;
        }
        revision = value.revision();
        headBytes = value.value().length;
        headCurrent = readSegments();
        return headCurrent;
    }

    private boolean readSegments() {
        dropExpiredSegments();
        for (SegmentRef segment : head.segments()) {
            boolean known = index.contains(segment.name()) || isExpired(segment);
            if (!known && readSegment(segment.name()) == null) {
                logger.warn("event=claim-segment-unread key={} segment={}", key, segment.name());
                return false;
            }
        }
        return true;
    }

    private void dropExpiredSegments() {
        Set<String> kept = new HashSet<>();
        head.segments().stream().filter(segment -> !isExpired(segment)).forEach(segment -> kept.add(segment.name()));
        index.retain(kept);
    }

    private boolean isExpired(SegmentRef segment) {
        return clock.wallMillis() - segment.sealedWallMillis() >= limits.retentionMillis();
    }

    private ClaimSegment readSegment(String name) {
        metrics.read();
        StoreResult<KeyValue> result = store.get(key + '/' + name, clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
        if (!(result instanceof StoreResult.Done<KeyValue> done)
                || !done.value().exists()) {
            return null;
        }
        try {
            ClaimSegment segment = JsonCodec.read(done.value().value(), ClaimSegment.class);
            index.add(name, segment.records());
            return segment;
        } catch (ModelException malformed) {
            logger.error("event=claim-segment-malformed key={} segment={}", key, name, malformed);
            return null;
        }
    }

    /** Return the sealed claims of the keys of changes, or {@code null} if a segment cannot be read. */
    private Map<String, ClaimRecord> findSealed(List<ClaimChange> changes) {
        Map<String, ClaimRecord> found = new HashMap<>();
        for (ClaimChange change : changes) {
            for (String name : index.candidates(change.key())) {
                ClaimSegment segment = readSegment(name);
                if (segment == null) {
                    return null;
                }
                segment.records().stream()
                        .filter(record -> record.key().equals(change.key()))
                        .forEach(record -> found.put(record.key(), record));
            }
        }
        return found;
    }

    /** Move the claims that no longer change to a segment if the value is large and the segment can be written. */
    private BucketHead sealIfLarge(BucketHead next) {
        List<ClaimRecord> sealable = ClaimTable.sealable(next, clock.wallMillis());
        if (headBytes < limits.sealBytes() || sealable.isEmpty()) {
            return next;
        }
        long wallMillis = clock.wallMillis();
        byte[] value = JsonCodec.write(new ClaimSegment(sealable));
        String name = Digest.of(value).shortHex() + '-' + wallMillis;
        long seconds = limits.retentionMillis() / MILLIS_PER_SECOND + LEASE_MARGIN_SECONDS;
        metrics.write();
        metrics.write();
        if (store.grantLease(seconds, clock.deadlineNanos(CALL_TIMEOUT_MILLIS)) instanceof StoreResult.Done<Long> lease
                && store.compareAndSwap(
                                key + '/' + name, 0, value, lease.value(), clock.deadlineNanos(CALL_TIMEOUT_MILLIS))
                        .isDone()) {
            index.add(name, sealable);
            return ClaimTable.seal(next, sealable, new SegmentRef(name, wallMillis));
        }
        return next;
    }

    private StoreResult<Long> write(BucketHead next) {
        byte[] value = JsonCodec.write(next);
        metrics.write();
        StoreResult<Long> written = store.compareAndSwap(
                key, revision, value, KeyValueStore.NO_LEASE, clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
        if (written instanceof StoreResult.Done<Long> done) {
            head = next;
            revision = done.value();
            headBytes = value.length;
        } else {
            headCurrent = false;
        }
        return written;
    }

    /**
     * Result of committing changes.
     *
     * @param durable whether all changes are recorded
     * @param uncertain whether changes may be recorded although the write was not confirmed
     * @param results a result for each change, {@code null} for those that are no claims
     */
    record CommitResult(boolean durable, boolean uncertain, List<ClaimResult> results) {}
}
