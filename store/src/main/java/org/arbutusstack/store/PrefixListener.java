package org.arbutusstack.store;

import java.util.List;
import org.arbutusstack.kernel.time.ClockReading;

/** Listener for the keys with a prefix; called by the thread of the follower and must not block. */
public interface PrefixListener {

    /**
     * Called with all keys when they have been read.
     *
     * @param snapshot all keys with the prefix
     */
    void onSnapshot(PrefixSnapshot snapshot);

    /**
     * Called with the changes since the previous call.
     *
     * @param items the changed keys in the order of the changes; a deleted key is absent
     */
    void onChanges(List<KeyValue> items);

    /** Called when a call on the service fails for the first time since it last responded. */
    void onStoreLost();

    /** Called when the service responds again; a snapshot or changes follow. */
    void onStoreRegained();

    /**
     * Called after each call that the service answered completely, when its result has been passed on: no change that
     * the service acknowledged before the call was sent is missing.
     *
     * @param sentAt the clocks when the call was sent
     */
    default void onConfirmed(ClockReading sentAt) {}

    /**
     * Return whether the listener has to be told soon after a failure that nothing has changed; the first call after it
     * then does not wait for a change.
     *
     * @return {@code true} if {@link #onConfirmed} is urgent after a failure
     */
    default boolean needsEarlyConfirmation() {
        return false;
    }
}
