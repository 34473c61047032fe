package org.arbutusstack.store;

/**
 * Reads all keys with a prefix and follows their changes, each by one bounded call.
 *
 * <p>Calls block up to their deadline, an instant of {@link System#nanoTime()}. Implementations are safe for use by any
 * thread.
 *
 * @see PrefixFollower
 */
public interface PrefixReader {

    /**
     * Reads the keys with a prefix.
     *
     * @param prefix the prefix
     * @param deadlineNanos when to give up
     * @return the keys and the revision from which changes are to be followed
     */
    StoreResult<PrefixSnapshot> snapshot(String prefix, long deadlineNanos);

    /**
     * Waits for changes of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param revision the revision after which changes are asked for
     * @param waitMillis how long the service may wait for a change
     * @param deadlineNanos when to give up
     * @return the changes, none if nothing changed; or that they can no longer be told
     */
    StoreResult<PrefixChanges> changesAfter(String prefix, long revision, long waitMillis, long deadlineNanos);

    /** Drops connections that may be dead, so that the next call opens a new one. */
    void reconnect();
}
