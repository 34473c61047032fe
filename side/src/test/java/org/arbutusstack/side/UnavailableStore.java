package org.arbutusstack.side;

import java.util.List;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/** Key-value service that refuses every call. */
final class UnavailableStore implements KeyValueStore {

    private static <T> StoreResult<T> refused() {
        return new StoreResult.NotDone<>("refused");
    }

    @Override
    public StoreResult<KeyValue> get(String key, long deadlineNanos) {
        return refused();
    }

    @Override
    public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
        return refused();
    }

    @Override
    public StoreResult<Long> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
        return refused();
    }

    @Override
    public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
        return refused();
    }

    @Override
    public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
        return refused();
    }

    @Override
    public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
        return refused();
    }

    @Override
    public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
        return refused();
    }

    @Override
    public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
        return () -> {};
    }
}
