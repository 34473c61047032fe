package org.arbutusstack.side;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.side.claim.ClaimChange;
import org.arbutusstack.side.claim.ClaimCommitter;
import org.arbutusstack.side.claim.ClaimLimits;
import org.arbutusstack.side.claim.ClaimMetrics;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.side.claim.RecordedAnswer;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.arbutusstack.wire.frame.WorkFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Coordinator that records claims and outcomes of non-idempotent calls in the key-value service, and acquires the
 * side's fencing token.
 *
 * <p>An event loop of its own waits for the key-value service, so that the side's event loop never blocks. Thread-safe.
 */
final class ClaimCoordinator {

    private static final Logger logger = LoggerFactory.getLogger(ClaimCoordinator.class);

    private static final String FENCE_PREFIX = "/arbutus/fences/";

    private static final int RING_SIZE = 1_024;

    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final long FENCE_RETRY_MILLIS = 1_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final SideIdentity identity;

    private final Consumer<SideEvent> events;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>("claims", RING_SIZE, Runnable::run);

    private final ClaimCommitter committer;

    private final int answerBytes;

    private final AtomicLong claimNumber = new AtomicLong();

    private volatile int pendingChanges;

    private volatile boolean fenceGranted;

    private long nextFenceAttemptNanos;

    private final AtomicBoolean commitScheduled = new AtomicBoolean();

    ClaimCoordinator(
            KeyValueStore store,
            Clock clock,
            SideIdentity identity,
            ClaimLimits limits,
            ClaimMetrics metrics,
            Consumer<SideEvent> events) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.identity = Assert.notNull(identity, "identity");
        this.events = Assert.notNull(events, "events");
        this.committer = new ClaimCommitter(store, clock, limits, identity.incarnation(), metrics);
        this.answerBytes = limits.answerBytes();
    }

    void start() {
        nextFenceAttemptNanos = clock.nowNanos();
        eventLoop.start();
        scheduleCommit();
    }

    void stop() {
        eventLoop.stop();
    }

    /**
     * Request the claim of a call; its result arrives as a {@link SideEvent.ClaimSettled}.
     *
     * @return {@code false} if the event loop's ring is full
     */
    boolean claim(WorkItem work) {
        String claimant = work.frame().id() + "/" + work.frame().attempt() + "@" + identity.incarnation() + "#"
                + claimNumber.getAndIncrement();
        work.setClaimant(claimant);
        ClaimKey key = keyOf(work);
        ClaimChange.Claim claim = new ClaimChange.Claim(key.digest(), contentDigest(work.frame()), claimant);
        Consumer<ClaimResult> settled = result -> events.accept(new SideEvent.ClaimSettled(work, result));
        return offer(() -> committer.claim(key, claim, work.deadlineNanos(), settled));
    }

    /** Record the outcome of a claimed call, without its body if that exceeds the limit. */
    void recordOutcome(WorkItem work, int status, String contentType, byte[] body) {
        boolean bodyKept = body.length <= answerBytes;
        RecordedAnswer answer = new RecordedAnswer(status, contentType, bodyKept, bodyKept ? body : new byte[0]);
        change(work, new ClaimChange.Record(keyOf(work).digest(), work.claimant(), answer));
    }

    /** Release the claim of a call that was not sent and never will be. */
    void release(WorkItem work) {
        change(work, new ClaimChange.Release(keyOf(work).digest(), work.claimant()));
    }

    private void change(WorkItem work, ClaimChange change) {
        ClaimKey key = keyOf(work);
        if (!offer(() -> committer.change(key, change))) {
            logger.warn("event=claim-outcome-dropped request={}", work.frame().id());
        }
    }

    private boolean offer(Runnable task) {
        return eventLoop.offer(() -> {
            task.run();
            pendingChanges = committer.pendingChanges();
            scheduleCommit();
        });
    }

    /** Schedule a commit if changes are pending or the fencing token is missing. */
    void tick() {
        if (pendingChanges > 0 || !fenceGranted) {
            scheduleCommit();
        }
    }

    /** Schedule a commit of what is due, after the tasks that are already queued. */
    private void scheduleCommit() {
        if (commitScheduled.compareAndSet(false, true) && !eventLoop.offer(this::commit)) {
            commitScheduled.set(false);
        }
    }

    private void commit() {
        commitScheduled.set(false);
        if (!fenceGranted && clock.isPast(nextFenceAttemptNanos)) {
            acquireFence();
        }
        committer.commitDue();
        pendingChanges = committer.pendingChanges();
    }

    /** Return the number of changes that are not recorded yet. */
    int pendingChanges() {
        return pendingChanges;
    }

    /** Return whether all changes are recorded. */
    boolean isIdle() {
        return eventLoop.depth() == 0 && pendingChanges == 0;
    }

    private static ClaimKey keyOf(WorkItem work) {
        return new ClaimKey(work.frame().service(), work.frame().idempotencyKey());
    }

    private static String contentDigest(WorkFrame frame) {
        String head = frame.method() + '\n' + frame.path() + '\n';
        return Digest.of(head).chain(Digest.of(frame.body())).shortHex();
    }

    private void acquireFence() {
        String key = FENCE_PREFIX + identity.name();
        if (store.get(key, clock.deadlineNanos(CALL_TIMEOUT_MILLIS)) instanceof StoreResult.Done<KeyValue> done) {
            byte[] value = identity.incarnation().getBytes(StandardCharsets.UTF_8);
            StoreResult<Long> written = store.compareAndSwap(
                    key,
                    done.value().revision(),
                    value,
                    KeyValueStore.NO_LEASE,
                    clock.deadlineNanos(CALL_TIMEOUT_MILLIS));
            if (written instanceof StoreResult.Done<Long> fence) {
                logger.info("event=fence-granted fence={}", fence.value());
                fenceGranted = true;
                events.accept(new SideEvent.FenceGranted(fence.value()));
                return;
            }
        }
        nextFenceAttemptNanos = clock.deadlineNanos(FENCE_RETRY_MILLIS);
    }
}
