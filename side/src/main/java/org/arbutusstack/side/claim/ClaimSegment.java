package org.arbutusstack.side.claim;

import java.util.List;

/**
 * Holds claims that do not change any more.
 *
 * @param records the claims
 */
public record ClaimSegment(List<ClaimRecord> records) {

    /** Copies the list. */
    public ClaimSegment {
        records = List.copyOf(records);
    }
}
