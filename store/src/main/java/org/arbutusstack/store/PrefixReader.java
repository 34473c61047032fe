package org.arbutusstack.store;

/**
 * Strategy interface for reading all keys with a prefix and their changes, each by one bounded call.
 *
 * <p>Calls block up to their deadline, an instant of {@link System#nanoTime()}. Implementations are thread-safe.
 *
 * @see PrefixFollower
 */
public interface PrefixReader {

    /**
     * Read the keys with a prefix.
     *
     * @param prefix the prefix
     * @param deadlineNanos the deadline, an instant of {@link System#nanoTime()}
     * @return the keys, and the position after which changes are to be requested
     */
    StoreResult<PrefixSnapshot> snapshot(String prefix, long deadlineNanos);

    /**
     * Wait for changes of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param position the position after which changes are requested
     * @param waitMillis the time for which the service may wait for a change, in milliseconds
     * @param deadlineNanos the deadline, an instant of {@link System#nanoTime()}
     * @return the changes, none if nothing changed, or that the service no longer retains them
     */
    StoreResult<PrefixChanges> changesAfter(String prefix, StorePosition position, long waitMillis, long deadlineNanos);

    /** Drop connections that may be broken, so that the next call opens a new one. */
    void reconnect();
}
