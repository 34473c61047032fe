package org.arbutusstack.entry.plan;

/** Keys of the plans and of the planner leases in the key-value service. */
public final class PlanKeys {

    /** Key prefix of the plans. */
    public static final String PLANS = "/arbutus/plans/";

    private static final String PLANNERS = "/arbutus/planners/";

    private PlanKeys() {}

    /**
     * Return the key of the plan of a service.
     *
     * @param service the name of the service
     * @return the key
     */
    public static String plan(String service) {
        return PLANS + service;
    }

    /**
     * Return the key that holds the current planner of a service.
     *
     * @param service the name of the service
     * @return the key
     */
    public static String holder(String service) {
        return PLANNERS + service;
    }
}
