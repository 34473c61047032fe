package org.arbutusstack.routing;

/**
 * Change of the share of a pool's requests that leaves for one availability zone, with the figures that decided.
 *
 * @param pool the requests that the same runners can serve
 * @param zone the zone that receives the share
 * @param previous the share at the last change that was reported
 * @param share the share now
 * @param homeMillis the expected first event at home, in milliseconds
 * @param zoneMillis the expected first event in the zone, including the delay, in milliseconds
 * @param delayMillis the measured extra delay of the zone, in milliseconds
 * @param cause what moved the share
 */
public record ZoneShareChange(
        String pool,
        String zone,
        double previous,
        double share,
        double homeMillis,
        double zoneMillis,
        double delayMillis,
        Cause cause) {

    /** What moves a share. */
    public enum Cause {

        /** The home zone is slower than the zone by more than the penalty. */
        HOME_SLOWER,

        /** The zone no longer gains half of the penalty. */
        NO_GAIN,

        /** The zone has no free slot, or needs what it has for its own requests. */
        FULL,

        /** The zone has no runner that can serve the pool and whose state is known. */
        LOST,

        /** The home zone serves the requests in time. */
        NOT_NEEDED
    }
}
