package org.arbutusstack.ledger;

import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.store.KeyValue;

/**
 * A head and the revision at which it was read.
 *
 * @param head the head
 * @param revision the revision of its key, zero if the key is absent
 */
record VersionedHead(LogHead head, long revision) {

    /**
     * Parse the value of the key of the head; an absent key is the head of an empty log.
     *
     * @throws org.arbutusstack.model.ModelException if the value is not a valid head
     */
    static VersionedHead of(KeyValue value) {
        LogHead head = value.exists() ? JsonCodec.read(value.value(), LogHead.class) : LogHead.EMPTY;
        return new VersionedHead(head, value.revision());
    }
}
