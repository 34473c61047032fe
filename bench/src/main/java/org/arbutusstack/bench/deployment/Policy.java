package org.arbutusstack.bench.deployment;

import java.util.Map;

/** Lists the policies that are compared; each constant knows the flags of the daemons that choose it. */
public enum Policy {
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
