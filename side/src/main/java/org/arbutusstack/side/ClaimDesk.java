package org.arbutusstack.side;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.ring.Duty;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
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

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String CLAIMS = "/arbutus/claims/";

    private static final String FENCES = "/arbutus/fences/";

    private static final int RING_SIZE = 1_024;

    private static final long CALL_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 200;

    private final KeyValueStore store;

    private final Clock clock;

    private final SideIdentity identity;

    private final Consumer<SideEvent> events;

    private final Duty<Runnable> duty = new Duty<>("claims", RING_SIZE, Runnable::run);

    ClaimDesk(KeyValueStore store, Clock clock, SideIdentity identity, Consumer<SideEvent> events) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
        this.identity = Assert.notNull(identity, "identity");
        this.events = Assert.notNull(events, "events");
    }

    void start() {
        duty.start();
        duty.offer(this::obtainFence);
    }

    void stop() {
        duty.stop();
    }

    /** Asks for a claim; the answer comes as an event. Returns false if too many wait. */
    boolean claim(Work work) {
        return duty.offer(() -> events.accept(new SideEvent.ClaimSettled(work, settle(work))));
    }

    /** Records the outcome of a claimed call. */
    void recordOutcome(Work work, int status) {
        boolean taken = duty.offer(() -> writeOutcome(work, status));
        if (!taken) {
            logger.warn("event=claim-outcome-dropped request={}", work.frame().id());
        }
    }

    private ClaimResult settle(Work work) {
        String key = keyOf(work);
        byte[] claim = claimOf(work, "claimed", 0);
        long deadlineNanos = Math.min(work.deadlineNanos(), clock.deadlineNanos(CALL_MILLIS));
        StoreResult<Long> written = store.compareAndSwap(key, 0, claim, KeyValueStore.NO_LEASE, deadlineNanos);
        if (written.isDone()) {
            return new ClaimResult.Granted();
        }
        if (written instanceof StoreResult.NotDone<Long> notDone) {
            return new ClaimResult.Unavailable(notDone.detail());
        }
        return readBack(key, claim);
    }

    private ClaimResult readBack(String key, byte[] claim) {
        if (!(store.get(key, clock.deadlineNanos(CALL_MILLIS)) instanceof StoreResult.Done<KeyValue> done)) {
            return new ClaimResult.Unavailable("the claim could not be read back");
        }
        if (java.util.Arrays.equals(done.value().value(), claim)) {
            return new ClaimResult.Granted();
        }
        if (!done.value().exists()) {
            return new ClaimResult.Unavailable("the claim was not recorded");
        }
        return new ClaimResult.Taken(done.value().text());
    }

    private void writeOutcome(Work work, int status) {
        String key = keyOf(work);
        if (store.get(key, clock.deadlineNanos(CALL_MILLIS)) instanceof StoreResult.Done<KeyValue> done) {
            byte[] outcome = claimOf(work, "ended", status);
            StoreResult<Long> written = store.compareAndSwap(
                    key, done.value().revision(), outcome, KeyValueStore.NO_LEASE, clock.deadlineNanos(CALL_MILLIS));
            logger.debug(
                    "event=claim-outcome request={} result={}", work.frame().id(), written);
        }
    }

    private byte[] claimOf(Work work, String state, int status) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("request", work.frame().id().toString());
        node.put("attempt", work.frame().attempt());
        node.put("runner", identity.name());
        node.put("incarnation", identity.incarnation());
        node.put("state", state);
        node.put("status", status);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String keyOf(Work work) {
        String service = work.frame().service();
        return CLAIMS
                + Digest.of(service + '\n' + work.frame().idempotencyKey()).hex();
    }

    private void obtainFence() {
        String key = FENCES + identity.name();
        if (store.get(key, clock.deadlineNanos(CALL_MILLIS)) instanceof StoreResult.Done<KeyValue> done) {
            byte[] value = identity.incarnation().getBytes(StandardCharsets.UTF_8);
            StoreResult<Long> written = store.compareAndSwap(
                    key, done.value().revision(), value, KeyValueStore.NO_LEASE, clock.deadlineNanos(CALL_MILLIS));
            if (written instanceof StoreResult.Done<Long> fence) {
                logger.info("event=fence-granted fence={}", fence.value());
                events.accept(new SideEvent.FenceGranted(fence.value()));
                return;
            }
        }
        java.util.concurrent.locks.LockSupport.parkNanos(RETRY_MILLIS * Clock.NANOS_PER_MILLI);
        duty.offer(this::obtainFence);
    }
}
