package org.arbutusstack.routing;

import org.arbutusstack.kernel.Assert;

/**
 * Bounds the retries to a share of the requests, so that retries cannot amplify an overload.
 *
 * <p>Each request adds a share of a retry, up to a reserve that covers the loss of one runner. To be used by one
 * thread.
 */
public final class RetryBudget {

    private static final double PERCENT = 100.0;

    private final double shareOfRequests;

    private double reserve;

    private double available;

    /**
     * Creates a budget whose reserve is full.
     *
     * @param percentOfRequests the retries permitted for a hundred requests
     * @param reserve the retries permitted at once
     */
    public RetryBudget(int percentOfRequests, int reserve) {
        Assert.atLeast(percentOfRequests, 0, "percentOfRequests");
        Assert.atLeast(reserve, 0, "reserve");
        this.shareOfRequests = percentOfRequests / PERCENT;
        this.reserve = reserve;
        this.available = reserve;
    }

    /**
     * Creates a budget that has earned nothing yet, so that restarts add no retries.
     *
     * @param percentOfRequests the retries permitted for a hundred requests
     * @param reserve the retries that can be saved up
     * @return the budget
     */
    public static RetryBudget empty(int percentOfRequests, double reserve) {
        RetryBudget budget = new RetryBudget(percentOfRequests, 0);
        budget.reserve(reserve);
        return budget;
    }

    /**
     * Changes what can be saved up; what was saved beyond it is lost.
     *
     * @param next the retries that can be saved up
     */
    public void reserve(double next) {
        reserve = next;
        available = Math.min(available, next);
    }

    /** Counts a request. */
    public void requestArrived() {
        available = Math.min(reserve, available + shareOfRequests);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return {@code false} if the budget is spent
     */
    public boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
