package org.arbutusstack.gateway.request;

/**
 * Number of requests for one model.
 *
 * @param inFlight all requests in flight, including expected retries of refused callers
 * @param waiting the requests among them for which no runner holds the model
 */
public record ModelRequestCount(int inFlight, int waiting) {

    ModelRequestCount plus(ModelRequestCount other) {
        return new ModelRequestCount(inFlight + other.inFlight, waiting + other.waiting);
    }
}
