package org.arbutusstack.placement;

import org.arbutusstack.kernel.Assert;

/**
 * Weights of benefit and cost, and limits, for a planner. Immutable.
 *
 * @param requestsPerCopy the number of waiting or running requests that one copy serves in time
 * @param attainment the benefit of a copy whose capacity is fully used by requests that it serves in time
 * @param move the cost of a load, in the same unit as {@code attainment}
 * @param modelLoadsAtOnce the maximum number of concurrent model loads in the service
 * @param adapterReservePercent the share of the memory of each runner reserved for adapters, in percent
 */
public record PlacementWeights(
        int requestsPerCopy, int attainment, int move, int modelLoadsAtOnce, int adapterReservePercent) {

    private static final int PERCENT = 100;

    /** Validate the weights. */
    public PlacementWeights {
        Assert.atLeast(requestsPerCopy, 1, "requestsPerCopy");
        Assert.atLeast(attainment, 1, "attainment");
        Assert.atLeast(move, 0, "move");
        Assert.atLeast(modelLoadsAtOnce, 1, "modelLoadsAtOnce");
        Assert.atLeast(adapterReservePercent, 0, "adapterReservePercent");
    }

    /** Return whether a copy is worth its load, given the number of requests in excess of what the copies serve. */
    boolean isWorthLoad(double excessRequests) {
        double relief = Math.min(1, excessRequests / requestsPerCopy);
        return relief > 0 && attainment * relief > move;
    }

    long adapterReserveMb(long memorySizeMb) {
        return memorySizeMb * adapterReservePercent / PERCENT;
    }

    int copiesFor(double requests) {
        return (int) Math.ceil(requests / requestsPerCopy);
    }
}
