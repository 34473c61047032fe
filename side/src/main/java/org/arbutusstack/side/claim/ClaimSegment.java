package org.arbutusstack.side.claim;

import java.util.List;

/**
 * Immutable segment of claims that no longer change.
 *
 * @param records the claims
 */
public record ClaimSegment(List<ClaimRecord> records) {

    /** Create a segment with a copy of the list. */
    public ClaimSegment {
        records = List.copyOf(records);
    }
}
