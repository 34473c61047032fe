package org.arbutusstack.side.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.store.KeyValueStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gathers changes by bucket and commits those of one bucket together, at a bounded rate.
 *
 * <p>To be used by one thread, which waits for the key-value service.
 */
public final class ClaimCommitter {

    private static final Logger logger = LoggerFactory.getLogger(ClaimCommitter.class);

    private static final String CLAIMS = "/arbutus/claims/";

    private static final long DOWN_MILLIS = 1_000;

    private static final int MOST_CHANGES_PER_COMMIT = 64;

    private static final int MOST_WAITING_PER_BUCKET = 2_048;

    private final KeyValueStore store;

    private final Clock clock;

    private final ClaimLimits limits;

    private final String writer;

    private final ClaimMetrics metrics;

    private final Map<String, Queue> queues = new TreeMap<>();

    private boolean down;

    private long downUntilNanos;

    /**
     * Creates a committer.
     *
     * @param store the key-value service
     * @param clock the clock
     * @param limits the limits
     * @param writer the incarnation of the side
     * @param metrics counts claims
     */
    public ClaimCommitter(KeyValueStore store, Clock clock, ClaimLimits limits, String writer, ClaimMetrics metrics) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.limits = Assert.notNull(limits, "limits");
        this.writer = Assert.hasText(writer, "writer");
        this.metrics = Assert.notNull(metrics, "metrics");
    }

    /**
     * Takes a claim; it is settled by a later commit.
     *
     * @param key the call
     * @param claim the claim
     * @param deadlineNanos when the claim is of no use any more
     * @param settled learns the result
     */
    public void claim(ClaimKey key, ClaimChange.Claim claim, long deadlineNanos, Consumer<ClaimResult> settled) {
        Queue queue = queueOf(key);
        Waiting waiting = new Waiting(claim, deadlineNanos, settled);
        if (isDown()) {
            settle(waiting, new ClaimResult.Unavailable("the key-value service did not take claims just now"));
            return;
        }
        if (queue.waiting.size() >= MOST_WAITING_PER_BUCKET) {
            settle(waiting, new ClaimResult.Unavailable("too many claims wait"));
            return;
        }
        queue.waiting.addLast(waiting);
    }

    /**
     * Takes a change that no one waits for; it is tried until it is durable.
     *
     * @param key the call
     * @param change the change
     */
    public void change(ClaimKey key, ClaimChange change) {
        add(queueOf(key), new Waiting(change, 0, null));
    }

    private void add(Queue queue, Waiting waiting) {
        if (queue.waiting.size() >= MOST_WAITING_PER_BUCKET) {
            metrics.outcomeDropped();
            logger.warn("event=claim-outcome-dropped claimant={}", waiting.change.claimant());
            return;
        }
        queue.waiting.addLast(waiting);
    }

    private Queue queueOf(ClaimKey key) {
        String name = CLAIMS + key.service() + '/' + key.bucket();
        return queues.computeIfAbsent(
                name,
                absent -> new Queue(new ClaimBucket(store, clock, limits, name, writer, metrics), clock.nowNanos()));
    }

    /**
     * Counts the changes that are not durable.
     *
     * @return the number of changes
     */
    public int waiting() {
        return queues.values().stream().mapToInt(queue -> queue.waiting.size()).sum();
    }

    private boolean isDown() {
        return down && !clock.isPast(downUntilNanos);
    }

    /** Commits the buckets that have changes and were not written just now, unless the service failed just now. */
    public void commitDue() {
        if (isDown()) {
            return;
        }
        for (Queue queue : queues.values()) {
            expire(queue);
            if (!queue.waiting.isEmpty() && clock.isPast(queue.dueNanos) && !commit(queue)) {
                down = true;
                downUntilNanos = clock.deadlineNanos(DOWN_MILLIS);
                queues.values().forEach(this::failClaims);
                return;
            }
        }
    }

    private boolean commit(Queue queue) {
        List<Waiting> batch = new ArrayList<>();
        while (batch.size() < MOST_CHANGES_PER_COMMIT && !queue.waiting.isEmpty()) {
            batch.add(queue.waiting.pollFirst());
        }
        List<ClaimChange> changes = batch.stream().map(Waiting::change).toList();
        ClaimBucket.Commit commit = queue.bucket.commit(changes);
        queue.dueNanos = clock.deadlineNanos(limits.commitMillis());
        for (int index = 0; index < batch.size(); index++) {
            finish(queue, batch.get(index), commit, commit.results().get(index));
        }
        down &= !commit.durable();
        return commit.durable();
    }

    private void finish(Queue queue, Waiting waiting, ClaimBucket.Commit commit, ClaimResult result) {
        if (waiting.settled != null) {
            settle(waiting, result);
        }
        if (commit.durable()) {
            return;
        }
        if (waiting.settled == null) {
            add(queue, waiting);
        } else if (commit.uncertain()) {
            ClaimChange change = waiting.change;
            add(queue, new Waiting(new ClaimChange.Release(change.key(), change.claimant()), 0, null));
        }
    }

    private void expire(Queue queue) {
        queue.waiting.removeIf(waiting -> {
            boolean late = waiting.settled != null && clock.isPast(waiting.deadlineNanos);
            if (late) {
                settle(waiting, new ClaimResult.Unavailable("the deadline passed before the claim was recorded"));
            }
            return late;
        });
    }

    private void failClaims(Queue queue) {
        queue.waiting.removeIf(waiting -> {
            if (waiting.settled != null) {
                settle(waiting, new ClaimResult.Unavailable("the key-value service does not take claims"));
            }
            return waiting.settled != null;
        });
    }

    private void settle(Waiting waiting, ClaimResult result) {
        metrics.settled(result);
        waiting.settled.accept(result);
    }

    /** Holds the changes of one bucket that are not committed. */
    private static final class Queue {

        private final ClaimBucket bucket;

        private final Deque<Waiting> waiting = new ArrayDeque<>();

        private long dueNanos;

        Queue(ClaimBucket bucket, long dueNanos) {
            this.bucket = bucket;
            this.dueNanos = dueNanos;
        }
    }

    /** Holds one change; {@code settled} is {@code null} if no one waits for it. */
    private record Waiting(ClaimChange change, long deadlineNanos, Consumer<ClaimResult> settled) {}
}
