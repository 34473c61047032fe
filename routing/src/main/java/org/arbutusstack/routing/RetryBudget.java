package org.arbutusstack.routing;

import org.arbutusstack.kernel.Assert;

/**
 * Token bucket that limits retries to a share of the requests, so that retries cannot amplify an overload.
 *
 * <p>Each request adds a fraction of a retry, up to a reserve that covers the loss of one runner. Not thread-safe.
 */
public final class RetryBudget {

    private static final double PERCENT = 100.0;

    private final double retriesPerRequest;

    private double reserve;

    private double available;

    /**
     * Create a budget whose reserve is full.
     *
     * @param percentOfRequests the number of retries permitted per hundred requests
     * @param reserve the maximum number of retries permitted at once
     */
    public RetryBudget(int percentOfRequests, int reserve) {
        Assert.atLeast(percentOfRequests, 0, "percentOfRequests");
        Assert.atLeast(reserve, 0, "reserve");
        this.retriesPerRequest = percentOfRequests / PERCENT;
        this.reserve = reserve;
        this.available = reserve;
    }

    /**
     * Create an empty budget, so that restarts do not add retries.
     *
     * @param percentOfRequests the number of retries permitted per hundred requests
     * @param reserve the maximum number of retries that can accumulate
     * @return the empty budget
     */
    public static RetryBudget empty(int percentOfRequests, double reserve) {
        RetryBudget budget = new RetryBudget(percentOfRequests, 0);
        budget.reserve(reserve);
        return budget;
    }

    /**
     * Change the maximum number of retries; accumulated retries above it are dropped.
     *
     * @param next the maximum number of retries that can accumulate
     */
    public void reserve(double next) {
        reserve = next;
        available = Math.min(available, next);
    }

    /** Record a request, which adds its share of a retry. */
    public void requestArrived() {
        available = Math.min(reserve, available + retriesPerRequest);
    }

    /**
     * Take one retry from the budget, if there is one.
     *
     * @return {@code false} if the budget is exhausted
     */
    public boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
