package org.arbutusstack.routing;

import java.util.Set;

/**
 * Availability zones whose runners may serve a request.
 *
 * @param zones the names of the zones; never empty
 * @param reason why the request stays or leaves
 */
public record ZoneDecision(Set<String> zones, ZoneReason reason) {

    /** Copy the set. */
    public ZoneDecision {
        zones = Set.copyOf(zones);
    }
}
