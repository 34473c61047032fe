package org.arbutusstack.gateway.request;

/**
 * Counts the requests in hand for one model.
 *
 * @param inFlight all of them
 * @param waiting those that wait for a runner that holds it
 */
public record ModelRequestCount(int inFlight, int waiting) {

    ModelRequestCount plus(ModelRequestCount other) {
        return new ModelRequestCount(inFlight + other.inFlight, waiting + other.waiting);
    }
}
