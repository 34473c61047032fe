package org.arbutusstack.store;

import java.util.List;

/** The result of requesting the changes after a revision. */
public sealed interface PrefixChanges {

    /**
     * The changes are available.
     *
     * @param items the changed keys in the order of the changes; a deleted key is absent
     * @param position the position after which further changes are to be requested, of the same era
     */
    record Known(List<KeyValue> items, StorePosition position) implements PrefixChanges {

        /** Make a defensive copy of the list. */
        public Known {
            items = List.copyOf(items);
        }
    }

    /**
     * The service does not retain the changes after this position, or has come back from an older copy; the keys have
     * to be read again.
     */
    record HistoryLost() implements PrefixChanges {}
}
