package org.arbutusstack.bench.deployment;

import java.util.Map;

/** Lists the policies that are compared; each constant knows the flags of the daemons that choose it. */
public enum Policy {
    /** Copies fill the memory evenly and requests go round. */
    STATIC_ROUND_ROBIN(Map.of("placement-policy", "STATIC", "routing-policy", "ROUND_ROBIN")),
    /** Copies fill the memory evenly and requests go to the runner with the least work, adapters first. */
    STATIC_LEAST_OUTSTANDING(Map.of("placement-policy", "STATIC", "routing-policy", "LEAST_OUTSTANDING")),
    /** Copies follow the demand at once, without hysteresis. */
    FOLLOW_DEMAND(
            Map.of("placement-policy", "FOLLOW_DEMAND", "requests-per-copy", "4", "adapter-reserve-percent", "5")),
    /** Copies follow the demand with hysteresis and requests go to the runner with the least work, adapters first. */
    PREVIOUS(Map.of(
            "placement-policy",
            "BALANCED",
            "routing-policy",
            "LEAST_OUTSTANDING",
            "requests-per-copy",
            "4",
            "adapter-reserve-percent",
            "5")),
    /** Copies follow the demand with hysteresis, set for attainment. */
    BALANCED(Map.of("placement-policy", "BALANCED", "requests-per-copy", "4", "adapter-reserve-percent", "5")),
    /** The daemons' own choice. */
    CURRENT(Map.of());

    private final Map<String, String> flags;

    Policy(Map<String, String> flags) {
        this.flags = flags;
    }

    /**
     * Lists the flags of an entry.
     *
     * @return the values by flag, without dashes
     */
    public Map<String, String> flags() {
        return flags;
    }
}
