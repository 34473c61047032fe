package org.arbutusstack.placement;

/**
 * Demand for one model.
 *
 * @param requests the number of requests that wait or run, smoothed
 * @param peakRequests the recent peak of that number, which decays with the hold time
 */
public record Demand(double requests, double peakRequests) {

    /** No demand. */
    public static final Demand NONE = new Demand(0, 0);
}
