package org.arbutusstack.routing;

/**
 * Properties of a request that decide whether it leaves its availability zone.
 *
 * @param draw a random number from zero (inclusive) to one (exclusive), the same for each decision on the request
 * @param sizeBytes the bytes that the request and its answer move
 * @param timeLeftMillis the time left until the target for the first event, in milliseconds; negative if it has passed
 */
public record ZoneDemand(double draw, long sizeBytes, long timeLeftMillis) {}
