package org.arbutusstack.bench.capacity;

/** States the size to design for. */
final class PlannedSize {

    static final double ENTRIES = 360;

    static final double SIDES = 1_200;

    static final double REGIONS = 7;

    static final double ZONES = 20;

    static final double MODELS = 250;

    static final double REQUESTS_PER_SECOND = 11_000;

    static final double TOKENS_PER_SECOND = 3_100_000;

    static final double TICKETS_PER_DAY = 6_000;

    /** The processor time that a node may spend on control, in percent of a core. */
    static final double CONTROL_CPU_PERCENT = 1.7;

    /** The memory that a node may spend on control, in mebibytes. */
    static final double CONTROL_MEMORY_MB = 128;

    /** The network that a node may spend on control, in bytes a second. */
    static final double CONTROL_BYTES_PER_SECOND = 29_000;

    /** The reads that the key-value service takes, in calls a second. */
    static final double STORE_READS_PER_SECOND = 2_000;

    /** The writes that the key-value service takes, in calls a second. */
    static final double STORE_WRITES_PER_SECOND = 400;

    private PlannedSize() {}

    static double sidesPerRegion() {
        return SIDES / REGIONS;
    }

    static double entriesPerRegion() {
        return ENTRIES / REGIONS;
    }
}
