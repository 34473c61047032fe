package org.arbutusstack.store;

import java.util.List;

/** Tells what changed since a revision. */
public sealed interface PrefixChanges {

    /**
     * The changes are known.
     *
     * @param items the keys changed, in order; deleted ones are absent
     * @param revision the revision from which to go on
     */
    record Known(List<KeyValue> items, long revision) implements PrefixChanges {

        /** Copies the list. */
        public Known {
            items = List.copyOf(items);
        }
    }

    /** The service no longer holds this history; the keys are to be read anew. */
    record HistoryLost() implements PrefixChanges {}
}
