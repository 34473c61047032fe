package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.Assert;

/**
 * Bounds what one entry does to get a request answered.
 *
 * @param percentOfRequests the retries that a hundred requests of this entry's callers earn
 * @param fleetReserve the retries that all entries together can save up
 * @param mostSends the runners that one request is sent to, those included that did not run it
 * @param adapterMillis how long a runner may take to load an adapter before another one is asked
 * @param returnMillis when a refused caller may come back
 */
public record RetryLimits(
        int percentOfRequests, double fleetReserve, int mostSends, long adapterMillis, long returnMillis) {

    /** Ten times the longest load of an adapter that the users name, so that a queue of them counts as none lost. */
    private static final long ADAPTER_MILLIS = 300;

    /** The time in which a runner's state is told anew several times. */
    private static final long RETURN_MILLIS = 700;

    /** Several times what an engine's queue may hold, so that those refused together do not return together. */
    private static final int SPREAD_MILLIS = 2_000;

    private static final int MOST_SENDS = 3;

    /** Keeps a tenth of what is permitted for requests that are counted elsewhere or later. */
    private static final double KEPT_SHARE = 0.9;

    private static final double PERCENT = 100;

    /** Checks the limits. */
    public RetryLimits {
        Assert.atLeast(percentOfRequests, 0, "percentOfRequests");
        Assert.isTrue(fleetReserve >= 0, "'fleetReserve' must not be negative");
    }

    /**
     * Spreads the return of callers who were refused at the same time.
     *
     * @param requestId the caller's name for its request
     * @return when it may come back, in milliseconds
     */
    public long spreadReturnMillis(String requestId) {
        return returnMillis + Math.floorMod(requestId.hashCode(), SPREAD_MILLIS);
    }

    /**
     * Tells one entry's part of the reserve.
     *
     * @param entries the entries that share it
     * @return the retries that it can save up, one at the least
     */
    public double reserveOf(int entries) {
        return Math.max(1, fleetReserve / Assert.atLeast(entries, 1, "entries"));
    }

    /**
     * Takes one entry's part of what the fleet is permitted.
     *
     * @param ratio the retries permitted for each request
     * @param burst the retries permitted besides, over all entries
     * @return the limits of one entry
     */
    public static RetryLimits ofFleet(double ratio, int burst) {
        int percent = (int) Math.floor(ratio * PERCENT * KEPT_SHARE);
        return new RetryLimits(percent, burst * KEPT_SHARE, MOST_SENDS, ADAPTER_MILLIS, RETURN_MILLIS);
    }
}
