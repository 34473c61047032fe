package org.arbutusstack.store;

import java.util.List;

/**
 * Holds the keys with a prefix as they were read.
 *
 * @param items the keys; not necessarily all of one revision
 * @param revision the revision from which changes are to be followed
 */
public record PrefixSnapshot(List<KeyValue> items, long revision) {

    /** Copies the list. */
    public PrefixSnapshot {
        items = List.copyOf(items);
    }
}
