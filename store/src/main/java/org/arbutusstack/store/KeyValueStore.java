package org.arbutusstack.store;

import java.util.List;

/**
 * Strategy interface for the key-value service that stores the state which has to survive every process.
 *
 * <p>Calls block up to their deadline, an instant of {@link System#nanoTime()}. Implementations are thread-safe.
 *
 * @see org.arbutusstack.store.etcd.EtcdKeyValueStore
 */
public interface KeyValueStore {

    /** The lease identifier of a key without a lease, which exists until it is deleted. */
    long NO_LEASE = 0;

    /** The era of a service that does not say when it comes back from an older copy. */
    long UNKNOWN_ERA = 0;

    /**
     * Return the era of the service, which rises when it comes back from an older copy. Leases and revisions of an
     * earlier era are void: the service may have given the same numbers out again.
     *
     * @return the latest era known to this process, or {@link #UNKNOWN_ERA}
     */
    default long era() {
        return UNKNOWN_ERA;
    }

    /**
     * Read a key.
     *
     * @param key the key
     * @param deadlineNanos the deadline of the call
     * @return the key's value; for an absent key the call succeeds with revision zero
     */
    StoreResult<KeyValue> get(String key, long deadlineNanos);

    /**
     * Read the keys with a prefix.
     *
     * @param prefix the prefix
     * @param deadlineNanos the deadline of the call
     * @return the keys and values in the order of the keys
     */
    StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos);

    /**
     * Write a key if it has the expected revision.
     *
     * @param key the key
     * @param expectedRevision the expected revision, zero for an absent key
     * @param value the value
     * @param leaseId the lease with which the key is deleted, or {@link #NO_LEASE}
     * @param deadlineNanos the deadline of the call
     * @return the new revision
     */
    StoreResult<Long> compareAndSwap(String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos);

    /**
     * Delete a key if it has the expected revision.
     *
     * @param key the key
     * @param expectedRevision the expected revision
     * @param deadlineNanos the deadline of the call
     * @return the revision of the deletion
     */
    StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos);

    /**
     * Grant a lease.
     *
     * @param timeToLiveSeconds the time to live after the grant and after each renewal, in seconds
     * @param deadlineNanos the deadline of the call
     * @return the lease's identifier
     */
    StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos);

    /**
     * Renew a lease.
     *
     * @param leaseId the lease
     * @param deadlineNanos the deadline of the call
     * @return whether the lease still existed
     */
    StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos);

    /**
     * Revoke a lease, which deletes its keys.
     *
     * @param leaseId the lease
     * @param deadlineNanos the deadline of the call
     * @return {@code true}
     */
    StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos);

    /**
     * Watch the keys with a prefix until the watch is closed, fails or reaches its deadline.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision whose changes are reported
     * @param deadlineNanos the instant at which the watch ends by itself
     * @param listener the listener for changes
     * @return a handle that closes the watch
     */
    Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener);

    /** Handle of a watch. */
    interface Watch {

        /** Close the watch; the listener may still receive changes in flight. */
        void close();
    }

    /** Listener for the changes of a watch; called by an I/O thread and must not block. */
    interface WatchListener {

        /**
         * Called when a key was written.
         *
         * @param keyValue the key with its new value and revision
         */
        void onChange(KeyValue keyValue);

        /**
         * Called when a key was deleted.
         *
         * @param key the key
         */
        default void onDelete(String key) {}

        /**
         * Called when the watch has ended and has to be opened again.
         *
         * @param detail the reason
         */
        void onEnded(String detail);
    }
}
