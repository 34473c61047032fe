package org.arbutusstack.ledger;

import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.store.KeyValue;

/**
 * Holds a head as it was read.
 *
 * @param head the head
 * @param revision the revision of its key, zero if the key is absent
 */
record HeadReading(LogHead head, long revision) {

    /**
     * Reads the head from its key.
     *
     * @throws org.arbutusstack.model.ModelException if the value is no head
     */
    static HeadReading of(KeyValue value) {
        LogHead head = value.exists() ? JsonCodec.read(value.value(), LogHead.class) : LogHead.EMPTY;
        return new HeadReading(head, value.revision());
    }
}
