package org.arbutusstack.bench.capacity;

/** The size that the system is designed for, and the resource budgets at that size. */
final class PlannedSize {

    static final double ENTRIES = 360;

    static final double SIDES = 1_200;

    static final double REGIONS = 7;

    static final double ZONES = 20;

    static final double MODELS = 250;

    static final double REQUESTS_PER_SECOND = 11_000;

    static final double TOKENS_PER_SECOND = 3_100_000;

    static final double TICKETS_PER_DAY = 6_000;

    /** CPU budget of a host for control traffic, in percent of a core. */
    static final double CONTROL_CPU_PERCENT = 1.7;

    /** Memory budget of a host for control data, in mebibytes. */
    static final double CONTROL_MEMORY_MB = 128;

    /** Network budget of a host for control traffic, in bytes per second. */
    static final double CONTROL_BYTES_PER_SECOND = 29_000;

    /** Read limit of the key-value service, in calls per second. */
    static final double STORE_READS_PER_SECOND = 2_000;

    /** Write limit of the key-value service, in calls per second. */
    static final double STORE_WRITES_PER_SECOND = 400;

    private PlannedSize() {}

    static double sidesPerRegion() {
        return SIDES / REGIONS;
    }

    static double entriesPerRegion() {
        return ENTRIES / REGIONS;
    }
}
