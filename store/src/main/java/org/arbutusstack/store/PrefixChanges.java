package org.arbutusstack.store;

import java.util.List;

/** The result of requesting the changes after a revision. */
public sealed interface PrefixChanges {

    /**
     * The changes are available.
     *
     * @param items the changed keys in the order of the changes; a deleted key is absent
     * @param revision the revision after which further changes are to be requested
     */
    record Known(List<KeyValue> items, long revision) implements PrefixChanges {

        /** Make a defensive copy of the list. */
        public Known {
            items = List.copyOf(items);
        }
    }

    /** The service no longer retains the changes after this revision; the keys have to be read again. */
    record HistoryLost() implements PrefixChanges {}
}
