package org.arbutusstack.side;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.ring.Duty;
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
 * Records the claims of calls that may not be repeated in the key-value service, and obtains the side's fencing number.
 *
 * <p>One thread of its own waits for the key-value service, so that the side's duty never does. Its methods may be
 * called by any thread.
 */
final class ClaimDesk {

    private static final Logger logger = LoggerFactory.getLogger(ClaimDesk.class);

    private static final String FENCES = "/arbutus/fences/";

    private static final int RING_SIZE = 1_024;

    private static final long CALL_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 1_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final SideIdentity identity;

    private final Consumer<SideEvent> events;

    private final Duty<Runnable> duty = new Duty<>("claims", RING_SIZE, Runnable::run);

    private final ClaimCommitter committer;

    private final int answerBytes;

    private final AtomicLong claimNumber = new AtomicLong();

    private volatile int waiting;

    private boolean fenced;

    private long fenceDueNanos;

    private final AtomicBoolean commitAsked = new AtomicBoolean();

    ClaimDesk(
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
        fenceDueNanos = clock.nowNanos();
        duty.start();
        commitSoon();
    }

    void stop() {
        duty.stop();
    }

    /** Asks for a claim; the answer comes as an event. Returns false if too many wait. */
    boolean claim(Work work) {
        String claimant = work.frame().id() + "/" + work.frame().attempt() + "@" + identity.incarnation() + "#"
                + claimNumber.getAndIncrement();
        work.claimedAs(claimant);
        ClaimChange.Claim claim = new ClaimChange.Claim(keyOf(work).digest(), contentOf(work.frame()), claimant);
        Consumer<ClaimResult> settled = result -> events.accept(new SideEvent.ClaimSettled(work, result));
        return offer(() -> committer.claim(keyOf(work), claim, work.deadlineNanos(), settled));
    }

    /** Records the outcome of a claimed call. */
    void recordOutcome(Work work, int status, String contentType, byte[] body) {
        boolean kept = body.length <= answerBytes;
        RecordedAnswer answer = new RecordedAnswer(status, contentType, kept, kept ? body : new byte[0]);
        change(work, new ClaimChange.Record(keyOf(work).digest(), work.claimant(), answer));
    }

    /** Takes back the claim of a call that was not sent and never will be. */
    void release(Work work) {
        change(work, new ClaimChange.Release(keyOf(work).digest(), work.claimant()));
    }

    private void change(Work work, ClaimChange change) {
        if (!offer(() -> committer.change(keyOf(work), change))) {
            logger.warn("event=claim-outcome-dropped request={}", work.frame().id());
        }
    }

    private boolean offer(Runnable step) {
        boolean taken = duty.offer(step);
        commitSoon();
        return taken;
    }

    /** Commits what is due, once those steps that wait already are taken. */
    void commitSoon() {
        if (commitAsked.compareAndSet(false, true) && !duty.offer(this::commit)) {
            commitAsked.set(false);
        }
    }

    private void commit() {
        commitAsked.set(false);
        if (!fenced && clock.isPast(fenceDueNanos)) {
            obtainFence();
        }
        committer.commitDue();
        waiting = committer.waiting();
    }

    /** Counts the changes that are not recorded; may be called by any thread. */
    int waiting() {
        return waiting;
    }

    /** Tells whether nothing waits to be recorded; may be called by any thread. */
    boolean isIdle() {
        return duty.depth() == 0 && waiting == 0;
    }

    private static ClaimKey keyOf(Work work) {
        return new ClaimKey(work.frame().service(), work.frame().idempotencyKey());
    }

    private static String contentOf(WorkFrame frame) {
        String head = frame.method() + '\n' + frame.path() + '\n';
        return Digest.of(head).chain(Digest.of(frame.body())).shortHex();
    }

    private void obtainFence() {
        String key = FENCES + identity.name();
        if (store.get(key, clock.deadlineNanos(CALL_MILLIS)) instanceof StoreResult.Done<KeyValue> done) {
            byte[] value = identity.incarnation().getBytes(StandardCharsets.UTF_8);
            StoreResult<Long> written = store.compareAndSwap(
                    key, done.value().revision(), value, KeyValueStore.NO_LEASE, clock.deadlineNanos(CALL_MILLIS));
            if (written instanceof StoreResult.Done<Long> fence) {
                logger.info("event=fence-granted fence={}", fence.value());
                fenced = true;
                events.accept(new SideEvent.FenceGranted(fence.value()));
                return;
            }
        }
        fenceDueNanos = clock.deadlineNanos(RETRY_MILLIS);
    }
}
