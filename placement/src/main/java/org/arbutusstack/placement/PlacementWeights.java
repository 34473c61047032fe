package org.arbutusstack.placement;

import org.arbutusstack.kernel.Assert;

/**
 * States how a planner weighs what it may gain against loads. Immutable.
 *
 * @param requestsPerCopy the requests waiting or running that one copy serves in time
 * @param attainment the weight of requests served in time
 * @param move the weight of a load
 * @param modelLoadsAtOnce the models that may load at once over the whole service
 * @param adapterReservePercent the part of each runner's memory left to adapters, in percent
 */
public record PlacementWeights(
        int requestsPerCopy, int attainment, int move, int modelLoadsAtOnce, int adapterReservePercent) {

    private static final int PERCENT = 100;

    /** Checks the weights. */
    public PlacementWeights {
        Assert.atLeast(requestsPerCopy, 1, "requestsPerCopy");
        Assert.atLeast(attainment, 1, "attainment");
        Assert.atLeast(move, 0, "move");
        Assert.atLeast(modelLoadsAtOnce, 1, "modelLoadsAtOnce");
        Assert.atLeast(adapterReservePercent, 0, "adapterReservePercent");
    }

    /** Tells whether relieving a number of requests that exceed what the copies serve is worth a load. */
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
