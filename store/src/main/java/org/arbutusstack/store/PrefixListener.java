package org.arbutusstack.store;

import java.util.List;

/** Learns of the keys with a prefix; called by the follower's thread and must not block. */
public interface PrefixListener {

    /**
     * Learns of all keys.
     *
     * @param snapshot the keys
     */
    void onSnapshot(PrefixSnapshot snapshot);

    /**
     * Learns of changes since what was told before.
     *
     * @param items the keys changed, in order; deleted ones are absent
     */
    void onChanges(List<KeyValue> items);

    /** Learns that the service has answered nothing for some time. */
    void onStoreLost();

    /** Learns that the service answers again; a snapshot or changes follow. */
    void onStoreRegained();
}
