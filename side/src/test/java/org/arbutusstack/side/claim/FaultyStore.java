package org.arbutusstack.side.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/** In-memory key-value service with injected faults. */
final class FaultyStore implements KeyValueStore {

    /** Fault of the next calls. */
    enum Fault {
        NONE,
        REFUSED,
        WRITE_REFUSED,
        UNKNOWN_WITHOUT_EFFECT,
        ANSWER_LOST,
        ANSWER_LOST_AND_DOWN,
        EFFECT_LATE
    }

    private final Map<String, KeyValue> values = new HashMap<>();

    private Runnable lateEffect = () -> {};

    private Fault fault = Fault.NONE;

    private long revision;

    private int writes;

    private int maxValueBytes;

    /** End of the keys of the bucket that cannot be read; empty for none. */
    private String brokenBucket = "";

    /** Let reads of a bucket fail in an unforeseen way. */
    void breakBucket(Object bucket) {
        brokenBucket = "/" + bucket;
    }

    void fault(Fault next) {
        fault = next;
    }

    void applyLateEffect() {
        lateEffect.run();
        lateEffect = () -> {};
    }

    int writes() {
        return writes;
    }

    int maxValueBytes() {
        return maxValueBytes;
    }

    int keyCount() {
        return values.size();
    }

    void remove(String key) {
        values.remove(key);
    }

    List<String> keys() {
        return List.copyOf(values.keySet());
    }

    @Override
    public StoreResult<KeyValue> get(String key, long deadlineNanos) {
        if (!brokenBucket.isEmpty() && (key.endsWith(brokenBucket) || key.contains(brokenBucket + "/"))) {
            throw new IllegalStateException("the value of " + key + " cannot be read");
        }
        boolean down = fault == Fault.REFUSED || fault == Fault.ANSWER_LOST_AND_DOWN && writes > 0;
        return down
                ? new StoreResult.NotDone<>("refused")
                : new StoreResult.Done<>(values.getOrDefault(key, KeyValue.absent(key)));
    }

    @Override
    public StoreResult<Long> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
        writes++;
        maxValueBytes = Math.max(maxValueBytes, value.length);
        return switch (fault) {
            case NONE -> swap(key, expectedRevision, value);
            case REFUSED, WRITE_REFUSED -> new StoreResult.NotDone<>("refused");
            case UNKNOWN_WITHOUT_EFFECT -> new StoreResult.Unknown<>("no answer");
            case ANSWER_LOST, ANSWER_LOST_AND_DOWN -> {
                swap(key, expectedRevision, value);
                yield new StoreResult.Unknown<>("answer lost");
            }
            case EFFECT_LATE -> {
                lateEffect = () -> swap(key, expectedRevision, value);
                yield new StoreResult.Unknown<>("no answer yet");
            }
        };
    }

    private StoreResult<Long> swap(String key, long expectedRevision, byte[] value) {
        long actual = values.getOrDefault(key, KeyValue.absent(key)).revision();
        if (actual != expectedRevision) {
            return new StoreResult.Conflict<>();
        }
        revision++;
        values.put(key, new KeyValue(key, value, revision));
        return new StoreResult.Done<>(revision);
    }

    @Override
    public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
        writes++;
        return fault == Fault.NONE ? new StoreResult.Done<>(1L) : new StoreResult.NotDone<>("refused");
    }

    @Override
    public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
        throw new UnsupportedOperationException();
    }
}
