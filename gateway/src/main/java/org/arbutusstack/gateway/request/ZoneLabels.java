package org.arbutusstack.gateway.request;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Labels of availability zones in metrics: the names of the first ones, and one label for all others. Thread-safe. */
final class ZoneLabels {

    /** Number of zones with a label of their own: more than a deployment of the design size has. */
    private static final int MAX_ZONES = 32;

    private static final String OTHER = "other";

    private final Set<String> known = ConcurrentHashMap.newKeySet();

    String label(String zone) {
        if (known.contains(zone)) {
            return zone;
        }
        if (known.size() >= MAX_ZONES) {
            return OTHER;
        }
        known.add(zone);
        return zone;
    }
}
