package org.arbutusstack.routing;

/**
 * Estimates when an engine makes the first event of one more request, from the requests that have none yet.
 *
 * <p>An engine reads prompts one after the other between the tokens of running requests, so that the time grows with
 * the requests ahead. Once all slots are taken, it begins a request for each that ends: the more slots, the more often.
 * How long a prompt and a stream take is learned from the answers. To be used by one thread.
 */
public final class FirstEventEstimator {

    /** The time of one prompt at first: a prompt of a thousand tokens at the engines' published speed, and a step. */
    private static final double FIRST_MILLIS = 65;

    private static final double LEAST_MILLIS = 15;

    private static final double MOST_MILLIS = 250;

    private static final double WEIGHT_OF_LATEST = 0.08;

    /** The time of one step of a batch and of the way there and back. */
    private static final double STEP_MILLIS = 25;

    /** The time of one stream at first: some hundred tokens at the engines' published speed. */
    private static final double FIRST_STREAM_MILLIS = 2_000;

    private static final double LEAST_STREAM_MILLIS = 100;

    private static final double MOST_STREAM_MILLIS = 20_000;

    private double millisPerRequest = FIRST_MILLIS;

    private double millisPerStream = FIRST_STREAM_MILLIS;

    /**
     * Learns from an answer.
     *
     * @param ahead the requests without a first event when the request was sent
     * @param millis the time from sending it to its first event, less what it had to wait for a slot
     */
    public void observed(int ahead, long millis) {
        double sample = (millis - STEP_MILLIS) / (ahead + 1.0);
        double bounded = Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, sample));
        millisPerRequest += WEIGHT_OF_LATEST * (bounded - millisPerRequest);
    }

    /**
     * Learns from a whole answer.
     *
     * @param millis the time from its first event to its end
     */
    public void ended(long millis) {
        double bounded = Math.max(LEAST_STREAM_MILLIS, Math.min(MOST_STREAM_MILLIS, millis));
        millisPerStream += WEIGHT_OF_LATEST * (bounded - millisPerStream);
    }

    /**
     * Estimates how long one more request waits for a slot.
     *
     * @param ahead the requests that have no event yet
     * @param running the requests that run
     * @param slots the requests that can run at once
     * @return the time in milliseconds; zero if a slot is free
     */
    public long slotWaitMillis(int ahead, int running, int slots) {
        int endsAwaited = Math.max(0, running + ahead + 1 - slots);
        return Math.round(endsAwaited * millisPerStream / slots);
    }

    /**
     * Estimates the time to the first event.
     *
     * @param ahead the requests that have none yet
     * @param running the requests that run
     * @param slots the requests that can run at once
     * @return the time in milliseconds
     */
    public long millis(int ahead, int running, int slots) {
        return Math.round(STEP_MILLIS + slotWaitMillis(ahead, running, slots) + (ahead + 1) * millisPerRequest);
    }
}
