package org.arbutusstack.entry.member;

import java.util.List;
import java.util.OptionalLong;

/**
 * Tells on how many runners a place of the ticket log is in force.
 *
 * @param acknowledged the number of runners whose present process has acknowledged it
 * @param runners the number of runners listed, those that cannot be reached included
 * @param missing the names of runners that have not acknowledged it, the first ones only
 * @param everywhereByMillis when it was first seen in force on all runners, in milliseconds since the epoch
 */
public record InForceStatus(long acknowledged, long runners, List<String> missing, OptionalLong everywhereByMillis) {

    /** Copies the names. */
    public InForceStatus {
        missing = List.copyOf(missing);
    }
}
