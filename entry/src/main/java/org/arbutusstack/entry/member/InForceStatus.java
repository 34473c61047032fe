package org.arbutusstack.entry.member;

import java.util.List;
import java.util.OptionalLong;

/**
 * Status of a ticket log sequence: on how many runners it is in force.
 *
 * @param acknowledged the number of runners whose current process has acknowledged the sequence
 * @param runners the number of listed runners, including unreachable ones
 * @param missing the names of the runners that have not acknowledged the sequence, limited to the first ones
 * @param everywhereByMillis when the sequence was first seen in force on all runners, in milliseconds since the epoch;
 * empty if that has not been seen
 */
public record InForceStatus(long acknowledged, long runners, List<String> missing, OptionalLong everywhereByMillis) {

    /** Create an immutable copy of the names. */
    public InForceStatus {
        missing = List.copyOf(missing);
    }
}
