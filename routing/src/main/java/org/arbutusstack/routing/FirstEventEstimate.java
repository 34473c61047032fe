package org.arbutusstack.routing;

/**
 * Estimates when an engine makes the first event of one more request, from the requests that have none yet.
 *
 * <p>An engine reads prompts one after the other between the tokens of running requests, so that the time grows with
 * the requests ahead; how long each takes is learned from the answers. To be used by one thread.
 */
public final class FirstEventEstimate {

    /** The time of one prompt at first: a prompt of a thousand tokens at the engines' published speed, and a step. */
    private static final double FIRST_MILLIS = 65;

    private static final double LEAST_MILLIS = 15;

    private static final double MOST_MILLIS = 250;

    private static final double WEIGHT_OF_LATEST = 0.08;

    /** The time of one step of a batch and of the way there and back. */
    private static final double STEP_MILLIS = 25;

    /** The time until one of the running requests ends, when all slots are taken. */
    private static final double SLOT_MILLIS = 400;

    private double millisPerRequest = FIRST_MILLIS;

    /**
     * Learns from an answer.
     *
     * @param ahead the requests without a first event when the request was sent
     * @param millis the time from sending it to its first event
     */
    public void observed(int ahead, long millis) {
        double sample = (millis - STEP_MILLIS) / (ahead + 1.0);
        double bounded = Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, sample));
        millisPerRequest += WEIGHT_OF_LATEST * (bounded - millisPerRequest);
    }

    /**
     * Estimates the time to the first event.
     *
     * @param ahead the requests that have none yet
     * @param slotsTaken whether no further request can run before another ends
     * @return the time in milliseconds
     */
    public long millis(int ahead, boolean slotsTaken) {
        double slotMillis = slotsTaken ? SLOT_MILLIS : 0;
        return Math.round(STEP_MILLIS + slotMillis + (ahead + 1) * millisPerRequest);
    }
}
