package org.arbutusstack.store;

import java.util.List;

/**
 * The keys with a prefix and their values, as they were read.
 *
 * @param items the keys and values, not necessarily all read at the same revision
 * @param position the position after which changes are to be requested
 */
public record PrefixSnapshot(List<KeyValue> items, StorePosition position) {

    /** Make a defensive copy of the list. */
    public PrefixSnapshot {
        items = List.copyOf(items);
    }
}
