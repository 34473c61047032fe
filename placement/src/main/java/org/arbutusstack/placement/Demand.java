package org.arbutusstack.placement;

/**
 * Tells the demand for one model.
 *
 * @param requests the requests waiting or running, smoothed
 * @param peakRequests the highest value of late; it fades with the hold time
 */
public record Demand(double requests, double peakRequests) {

    /** No demand. */
    public static final Demand NONE = new Demand(0, 0);
}
