package org.arbutusstack.entry.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/** In-memory {@link KeyValueStore} on a manual clock; can be down, lose responses and run a task before a swap. */
final class FakeKeyValueStore implements KeyValueStore {

    private final ManualClock clock;

    private final Map<String, KeyValue> values = new HashMap<>();

    private final Map<String, Long> leaseOfKey = new HashMap<>();

    private final Map<Long, Long> leaseEndsAtNanos = new HashMap<>();

    private final Map<Long, Long> leaseSeconds = new HashMap<>();

    private long revision = 100;

    private long nextLease = 1;

    Runnable beforePlanSwap = () -> {};

    boolean down;

    int responsesToLose;

    int calls;

    FakeKeyValueStore(ManualClock clock) {
        this.clock = clock;
    }

    private void expire() {
        leaseEndsAtNanos.entrySet().removeIf(entry -> clock.isPast(entry.getValue()));
        leaseOfKey.entrySet().removeIf(entry -> {
            boolean expired = !leaseEndsAtNanos.containsKey(entry.getValue());
            if (expired) {
                values.remove(entry.getKey());
                revision++;
            }
            return expired;
        });
    }

    private boolean isDown() {
        calls++;
        expire();
        return down;
    }

    @Override
    public StoreResult<KeyValue> get(String key, long deadlineNanos) {
        return isDown()
                ? new StoreResult.NotDone<>("down")
                : new StoreResult.Done<>(values.getOrDefault(key, KeyValue.absent(key)));
    }

    @Override
    public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<Long> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
        if (key.startsWith(PlanKeys.PLANS)) {
            Runnable before = beforePlanSwap;
            beforePlanSwap = () -> {};
            before.run();
        }
        if (isDown() || leaseId != NO_LEASE && !leaseEndsAtNanos.containsKey(leaseId)) {
            return new StoreResult.NotDone<>("down or without lease");
        }
        if (values.getOrDefault(key, KeyValue.absent(key)).revision() != expectedRevision) {
            return new StoreResult.Conflict<>();
        }
        values.put(key, new KeyValue(key, value, ++revision));
        if (leaseId != NO_LEASE) {
            leaseOfKey.put(key, leaseId);
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            return new StoreResult.Unknown<>("the answer was lost");
        }
        return new StoreResult.Done<>(revision);
    }

    @Override
    public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
        if (isDown()) {
            return new StoreResult.NotDone<>("down");
        }
        leaseSeconds.put(nextLease, timeToLiveSeconds);
        leaseEndsAtNanos.put(nextLease, clock.deadlineNanos(timeToLiveSeconds * 1_000));
        return new StoreResult.Done<>(nextLease++);
    }

    @Override
    public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
        if (isDown()) {
            return new StoreResult.NotDone<>("down");
        }
        boolean alive = leaseEndsAtNanos.containsKey(leaseId);
        if (alive) {
            leaseEndsAtNanos.put(leaseId, clock.deadlineNanos(leaseSeconds.get(leaseId) * 1_000));
        }
        return new StoreResult.Done<>(alive);
    }

    @Override
    public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
        leaseEndsAtNanos.put(leaseId, clock.nowNanos() - Clock.NANOS_PER_MILLI);
        return new StoreResult.Done<>(true);
    }

    @Override
    public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
        throw new UnsupportedOperationException();
    }
}
