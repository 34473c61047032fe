package org.arbutusstack.side.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.store.KeyValueStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Committer that collects changes by bucket and commits those of one bucket together, at a limited rate.
 *
 * <p>Not thread-safe; blocks its thread on calls to the key-value service.
 */
public final class ClaimCommitter {

    private static final String DUTY = "claims";

    private static final Logger logger = LoggerFactory.getLogger(ClaimCommitter.class);

    private static final String CLAIM_PREFIX = "/arbutus/claims/";

    private static final long STORE_RETRY_MILLIS = 1_000;

    private static final int MAX_CHANGES_PER_COMMIT = 64;

    private static final int MAX_PENDING_PER_BUCKET = 2_048;

    private final KeyValueStore store;

    private final Clock clock;

    private final ClaimLimits limits;

    private final String writer;

    private final ClaimMetrics metrics;

    private final Map<String, BucketQueue> queues = new TreeMap<>();

    private boolean storeDown;

    private long nextAttemptNanos;

    /**
     * Create a new committer.
     *
     * @param store the key-value service
     * @param clock the clock of the process
     * @param limits the limits of claims
     * @param writer the incarnation of the side
     * @param metrics the metrics of claims
     */
    public ClaimCommitter(KeyValueStore store, Clock clock, ClaimLimits limits, String writer, ClaimMetrics metrics) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.limits = Assert.notNull(limits, "limits");
        this.writer = Assert.hasText(writer, "writer");
        this.metrics = Assert.notNull(metrics, "metrics");
    }

    /**
     * Enqueue a claim, which a later commit settles. It is settled at once if the key-value service is unavailable or
     * too many changes of its bucket are pending.
     *
     * @param key the key of the call
     * @param claim the claim
     * @param deadlineNanos when the claim expires, in nanoseconds of the process clock
     * @param settled called with the result, on the thread of the committer
     */
    public void claim(ClaimKey key, ClaimChange.Claim claim, long deadlineNanos, Consumer<ClaimResult> settled) {
        BucketQueue queue = queueOf(key);
        PendingChange pendingChange = new PendingChange(claim, deadlineNanos, settled);
        if (isStoreDown()) {
            settle(pendingChange, new ClaimResult.Unavailable("the key-value service did not take claims just now"));
            return;
        }
        if (queue.pending.size() >= MAX_PENDING_PER_BUCKET) {
            settle(pendingChange, new ClaimResult.Unavailable("too many claims wait"));
            return;
        }
        queue.pending.addLast(pendingChange);
    }

    /**
     * Enqueue a change whose result no caller awaits. It is retried until it is durable, and dropped if too many
     * changes of its bucket are pending.
     *
     * @param key the key of the call
     * @param change the change
     */
    public void change(ClaimKey key, ClaimChange change) {
        enqueue(queueOf(key), new PendingChange(change, 0, null));
    }

    private void enqueue(BucketQueue queue, PendingChange pendingChange) {
        if (queue.pending.size() >= MAX_PENDING_PER_BUCKET) {
            metrics.outcomeDropped();
            logger.warn("event=claim-outcome-dropped claimant={}", pendingChange.change.claimant());
            return;
        }
        queue.pending.addLast(pendingChange);
    }

    private BucketQueue queueOf(ClaimKey key) {
        String name = CLAIM_PREFIX + key.service() + '/' + key.bucket();
        return queues.computeIfAbsent(
                name,
                absent -> new BucketQueue(
                        new ClaimBucket(store, clock, limits, name, writer, metrics), clock.nowNanos()));
    }

    /**
     * Return the number of pending changes.
     *
     * @return the number of changes that are not durable yet
     */
    public int pendingChanges() {
        return queues.values().stream().mapToInt(queue -> queue.pending.size()).sum();
    }

    private boolean isStoreDown() {
        return storeDown && !clock.isPast(nextAttemptNanos);
    }

    /**
     * Commit the pending changes of each bucket whose commit interval has elapsed. After a failed commit, all pending
     * claims are refused and nothing is committed until the retry interval has elapsed.
     */
    public void commitDue() {
        IsolatedSteps.forEach(DUTY, queues.values(), this::commitIfDue);
    }

    private void commitIfDue(BucketQueue queue) {
        if (isStoreDown()) {
            return;
        }
        expire(queue);
        if (!queue.pending.isEmpty() && clock.isPast(queue.nextCommitNanos) && !commit(queue)) {
            storeDown = true;
            nextAttemptNanos = clock.deadlineNanos(STORE_RETRY_MILLIS);
            queues.values().forEach(this::failClaims);
        }
    }

    private boolean commit(BucketQueue queue) {
        List<PendingChange> batch = new ArrayList<>();
        while (batch.size() < MAX_CHANGES_PER_COMMIT && !queue.pending.isEmpty()) {
            batch.add(queue.pending.pollFirst());
        }
        List<ClaimChange> changes = batch.stream().map(PendingChange::change).toList();
        ClaimBucket.CommitResult commit = commit(queue, batch, changes);
        queue.nextCommitNanos = clock.deadlineNanos(limits.commitMillis());
        for (int index = 0; index < batch.size(); index++) {
            complete(queue, batch.get(index), commit, commit.results().get(index));
        }
        storeDown &= !commit.durable();
        return commit.durable();
    }

    /** Commit changes; if the bucket cannot be handled they return to the queue, so that none is dropped silently. */
    private static ClaimBucket.CommitResult commit(
            BucketQueue queue, List<PendingChange> batch, List<ClaimChange> changes) {
        try {
            return queue.bucket.commit(changes);
        } catch (RuntimeException failure) {
            for (int index = batch.size() - 1; index >= 0; index--) {
                queue.pending.addFirst(batch.get(index));
            }
            throw failure;
        }
    }

    private void complete(
            BucketQueue queue, PendingChange pendingChange, ClaimBucket.CommitResult commit, ClaimResult result) {
        if (pendingChange.settled != null) {
            settle(pendingChange, result);
        }
        if (commit.durable()) {
            return;
        }
        if (pendingChange.settled == null) {
            enqueue(queue, pendingChange);
        } else if (commit.uncertain()) {
            ClaimChange change = pendingChange.change;
            enqueue(queue, new PendingChange(new ClaimChange.Release(change.key(), change.claimant()), 0, null));
        }
    }

    private void expire(BucketQueue queue) {
        queue.pending.removeIf(pendingChange -> {
            boolean late = pendingChange.settled != null && clock.isPast(pendingChange.deadlineNanos);
            if (late) {
                settle(pendingChange, new ClaimResult.Unavailable("the deadline passed before the claim was recorded"));
            }
            return late;
        });
    }

    private void failClaims(BucketQueue queue) {
        queue.pending.removeIf(pendingChange -> {
            if (pendingChange.settled != null) {
                settle(pendingChange, new ClaimResult.Unavailable("the key-value service does not take claims"));
            }
            return pendingChange.settled != null;
        });
    }

    private void settle(PendingChange pendingChange, ClaimResult result) {
        metrics.settled(result);
        IsolatedSteps.run(DUTY, () -> pendingChange.settled.accept(result));
    }

    /** Pending changes of one bucket. */
    private static final class BucketQueue {

        private final ClaimBucket bucket;

        private final Deque<PendingChange> pending = new ArrayDeque<>();

        private long nextCommitNanos;

        BucketQueue(ClaimBucket bucket, long nextCommitNanos) {
            this.bucket = bucket;
            this.nextCommitNanos = nextCommitNanos;
        }
    }

    /** Pending change; {@code settled} is {@code null} if no caller awaits its result. */
    private record PendingChange(ClaimChange change, long deadlineNanos, Consumer<ClaimResult> settled) {}
}
