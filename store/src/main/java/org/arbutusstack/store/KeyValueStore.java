package org.arbutusstack.store;

import java.util.List;

/**
 * Keeps what must outlast every process.
 *
 * <p>Calls block up to their deadline, an instant of {@link System#nanoTime()}. Implementations are safe for use by any
 * thread.
 *
 * @see org.arbutusstack.store.etcd.EtcdKeyValueStore
 */
public interface KeyValueStore {

    /** The lease identifier of a key that lives until it is deleted. */
    long NO_LEASE = 0;

    /**
     * Reads a key.
     *
     * @param key the key
     * @param deadlineNanos when to give up
     * @return the key's value; an absent key is done with revision zero
     */
    StoreResult<KeyValue> get(String key, long deadlineNanos);

    /**
     * Reads the keys with a prefix.
     *
     * @param prefix the prefix
     * @param deadlineNanos when to give up
     * @return the keys in order
     */
    StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos);

    /**
     * Writes a key if its revision is the one expected.
     *
     * @param key the key
     * @param expectedRevision the revision expected, zero for an absent key
     * @param value the value
     * @param leaseId the lease that the key lives by, or {@link #NO_LEASE}
     * @param deadlineNanos when to give up
     * @return the new revision
     */
    StoreResult<Long> compareAndSwap(String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos);

    /**
     * Deletes a key if its revision is the one expected.
     *
     * @param key the key
     * @param expectedRevision the revision expected
     * @param deadlineNanos when to give up
     * @return the revision of the deletion
     */
    StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos);

    /**
     * Grants a lease.
     *
     * @param timeToLiveSeconds how long the lease lives after each renewal
     * @param deadlineNanos when to give up
     * @return the lease's identifier
     */
    StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos);

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     * @param deadlineNanos when to give up
     * @return whether the lease still lived
     */
    StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos);

    /**
     * Ends a lease; its keys are deleted.
     *
     * @param leaseId the lease
     * @param deadlineNanos when to give up
     * @return {@code true}
     */
    StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos);

    /**
     * Watches the keys with a prefix until the watch is closed or fails.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to hear of
     * @param deadlineNanos when the watch ends by itself
     * @param listener learns of changes
     * @return a handle that closes the watch
     */
    Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener);

    /** Closes a watch. */
    interface Watch {

        /** Ends the watch; the listener may still hear of changes under way. */
        void close();
    }

    /** Learns of changes; called by an I/O thread and must not block. */
    interface WatchListener {

        /**
         * Learns that a key was written.
         *
         * @param keyValue the key as it is now
         */
        void onChange(KeyValue keyValue);

        /**
         * Learns that a key was deleted.
         *
         * @param key the key
         */
        default void onDelete(String key) {}

        /**
         * Learns that the watch has ended and must be set anew.
         *
         * @param detail why
         */
        void onEnded(String detail);
    }
}
