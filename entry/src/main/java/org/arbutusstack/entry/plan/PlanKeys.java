package org.arbutusstack.entry.plan;

/** Names the keys of plans and planners' leases in the key-value service. */
public final class PlanKeys {

    /** The prefix of plans. */
    public static final String PLANS = "/arbutus/plans/";

    private static final String PLANNERS = "/arbutus/planners/";

    private PlanKeys() {}

    /**
     * Names the key of a service's plan.
     *
     * @param service the service
     * @return the key
     */
    public static String plan(String service) {
        return PLANS + service;
    }

    /**
     * Names the key that says who plans a service.
     *
     * @param service the service
     * @return the key
     */
    public static String holder(String service) {
        return PLANNERS + service;
    }
}
