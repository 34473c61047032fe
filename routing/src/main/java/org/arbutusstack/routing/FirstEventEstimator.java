package org.arbutusstack.routing;

/**
 * Estimator of the time to the first event of another request, based on the requests that have no event yet.
 *
 * <p>An engine processes prompts sequentially, between the tokens of running requests, so that the time grows with the
 * number of requests ahead. Once all slots are in use, a request starts whenever a stream ends, which happens more
 * often with more slots. The times of a prompt and of a stream are moving averages over the answers. Not thread-safe.
 */
public final class FirstEventEstimator {

    /**
     * Initial estimate of the time of one prompt: a thousand tokens at the published speed of the engines, plus one
     * step.
     */
    private static final double INITIAL_REQUEST_MILLIS = 65;

    private static final double MIN_REQUEST_MILLIS = 15;

    private static final double MAX_REQUEST_MILLIS = 250;

    private static final double SMOOTHING_FACTOR = 0.08;

    /** Time of one batch step and of the network round trip. */
    private static final double STEP_MILLIS = 25;

    /** Initial estimate of the time of one stream: several hundred tokens at the published speed of the engines. */
    private static final double INITIAL_STREAM_MILLIS = 2_000;

    private static final double MIN_STREAM_MILLIS = 100;

    private static final double MAX_STREAM_MILLIS = 20_000;

    private double millisPerRequest = INITIAL_REQUEST_MILLIS;

    private double millisPerStream = INITIAL_STREAM_MILLIS;

    /**
     * Update the estimate of prompts from the first event of a request.
     *
     * @param ahead the number of requests without a first event when the request was sent
     * @param millis the time from sending the request to its first event, without the wait for a slot, in milliseconds
     */
    public void observed(int ahead, long millis) {
        double sample = (millis - STEP_MILLIS) / (ahead + 1.0);
        double bounded = Math.max(MIN_REQUEST_MILLIS, Math.min(MAX_REQUEST_MILLIS, sample));
        millisPerRequest += SMOOTHING_FACTOR * (bounded - millisPerRequest);
    }

    /**
     * Update the estimate of streams from a complete answer.
     *
     * @param millis the time from the first event to the end of the answer, in milliseconds
     */
    public void ended(long millis) {
        double bounded = Math.max(MIN_STREAM_MILLIS, Math.min(MAX_STREAM_MILLIS, millis));
        millisPerStream += SMOOTHING_FACTOR * (bounded - millisPerStream);
    }

    /**
     * Estimate how long another request waits for a slot.
     *
     * @param ahead the number of requests without an event
     * @param running the number of running requests
     * @param slots the maximum number of concurrent requests
     * @return the time in milliseconds; zero if a slot is free
     */
    public long slotWaitMillis(int ahead, int running, int slots) {
        int streamsToEnd = Math.max(0, running + ahead + 1 - slots);
        return Math.round(streamsToEnd * millisPerStream / slots);
    }

    /**
     * Estimate the time to the first event of another request.
     *
     * @param ahead the number of requests without an event
     * @param running the number of running requests
     * @param slots the maximum number of concurrent requests
     * @return the time in milliseconds
     */
    public long millis(int ahead, int running, int slots) {
        return Math.round(STEP_MILLIS + slotWaitMillis(ahead, running, slots) + (ahead + 1) * millisPerRequest);
    }
}
