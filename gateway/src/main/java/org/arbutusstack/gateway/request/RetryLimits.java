package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.Assert;

/**
 * Limits on the attempts that one entry makes for a request.
 *
 * @param percentOfRequests the retries earned by a hundred requests of this entry's callers
 * @param fleetReserve the retries that all entries together can accumulate
 * @param maxSends the maximum number of runners that one request is sent to, including those that did not run it
 * @param adapterLoadTimeoutMillis the time after which another runner is asked to load an adapter, in milliseconds
 * @param retryAfterMillis the time after which a refused caller may retry, in milliseconds
 */
public record RetryLimits(
        int percentOfRequests,
        double fleetReserve,
        int maxSends,
        long adapterLoadTimeoutMillis,
        long retryAfterMillis) {

    /** Ten times the longest specified adapter load, so that a load queued behind others is not considered lost. */
    private static final long ADAPTER_LOAD_TIMEOUT_MILLIS = 300;

    /** Long enough for several new statuses of a runner. */
    private static final long RETRY_AFTER_MILLIS = 700;

    /** Several times the wait in a full engine queue, so that callers refused together do not retry together. */
    private static final int RETRY_AFTER_SPREAD_MILLIS = 2_000;

    private static final int MAX_SENDS = 3;

    /**
     * Share of the permitted retries that is used; the rest is reserved for requests that are counted elsewhere or
     * later.
     */
    private static final double USABLE_SHARE = 0.9;

    private static final double PERCENT = 100;

    /** Check the limits. */
    public RetryLimits {
        Assert.atLeast(percentOfRequests, 0, "percentOfRequests");
        Assert.isTrue(fleetReserve >= 0, "'fleetReserve' must not be negative");
    }

    /**
     * Spread the retries of callers that were refused at the same time.
     *
     * @param requestId the caller's identifier of the request
     * @return the time after which the caller may retry, in milliseconds
     */
    public long spreadRetryAfterMillis(String requestId) {
        return retryAfterMillis + Math.floorMod(requestId.hashCode(), RETRY_AFTER_SPREAD_MILLIS);
    }

    /**
     * Return the share of the reserve for one entry.
     *
     * @param entries the number of entries that share the reserve
     * @return the retries that the entry can accumulate, at least one
     */
    public double reservePerEntry(int entries) {
        return Math.max(1, fleetReserve / Assert.atLeast(entries, 1, "entries"));
    }

    /**
     * Create the limits of one entry from those of the fleet.
     *
     * @param ratio the retries permitted for each request
     * @param burst the additional retries permitted to all entries together
     * @return the limits of one entry
     */
    public static RetryLimits ofFleet(double ratio, int burst) {
        int percent = (int) Math.floor(ratio * PERCENT * USABLE_SHARE);
        return new RetryLimits(
                percent, burst * USABLE_SHARE, MAX_SENDS, ADAPTER_LOAD_TIMEOUT_MILLIS, RETRY_AFTER_MILLIS);
    }
}
