package org.arbutusstack.bench.deployment;

import java.util.Map;

/** The policies to compare, with the flags of the daemons that select them. */
public enum Policy {
    /** Copies fill the memory evenly; requests go to the runners in turn. */
    STATIC_ROUND_ROBIN(Map.of("placement-policy", "STATIC", "routing-policy", "ROUND_ROBIN")),
    /**
     * Copies fill the memory evenly; requests go to the runner with the fewest outstanding requests, first to those
     * with the adapter.
     */
    STATIC_LEAST_OUTSTANDING(Map.of("placement-policy", "STATIC", "routing-policy", "LEAST_OUTSTANDING")),
    /** Copies follow the demand immediately, without hysteresis. */
    FOLLOW_DEMAND(
            Map.of("placement-policy", "FOLLOW_DEMAND", "requests-per-copy", "4", "adapter-reserve-percent", "5")),
    /**
     * Copies follow the demand with hysteresis; requests go to the runner with the fewest outstanding requests, first
     * to those with the adapter.
     */
    PREVIOUS(Map.of(
            "placement-policy",
            "BALANCED",
            "routing-policy",
            "LEAST_OUTSTANDING",
            "requests-per-copy",
            "4",
            "adapter-reserve-percent",
            "5")),
    /** Copies follow the demand with hysteresis; the settings favour the share of requests served in time. */
    BALANCED(Map.of("placement-policy", "BALANCED", "requests-per-copy", "4", "adapter-reserve-percent", "5")),
    /** The defaults of the daemons. */
    CURRENT(Map.of());

    private final Map<String, String> flags;

    Policy(Map<String, String> flags) {
        this.flags = flags;
    }

    /**
     * Return the flags that select the policy on an entry.
     *
     * @return the values by name of the flag, without dashes
     */
    public Map<String, String> flags() {
        return flags;
    }
}
