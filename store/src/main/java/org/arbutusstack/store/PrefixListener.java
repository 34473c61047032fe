package org.arbutusstack.store;

import java.util.List;

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
}
