package org.arbutusstack.routing;

/**
 * Estimate of how many prompt tokens a runner reads in a millisecond, from the times to the first events of requests.
 *
 * <p>Parts of prompts that the runner keeps count like others, as they do in the unread tokens that the estimate is
 * compared with. Not thread-safe.
 */
public final class PrefillSpeed {

    /** Initial estimate: the published speed of the slower engines. */
    private static final double INITIAL_TOKENS_PER_MILLI = 20;

    /** Half the slowest published speed; a lower sample is a wait for a slot. */
    private static final double MIN_TOKENS_PER_MILLI = 10;

    private static final double MAX_TOKENS_PER_MILLI = 60;

    /** Below this, the steps between tokens take a large part of the time. */
    private static final long MIN_SAMPLE_TOKENS = 1_000;

    /** Tokens of others that do not distort a sample, as a share of its own. */
    private static final long MAX_UNREAD_DIVISOR = 10;

    /** Time of one batch step and of the network round trip. */
    private static final double STEP_MILLIS = 25;

    private static final double SMOOTHING_FACTOR = 0.05;

    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

    /**
     * Update the estimate, unless prompts ahead of this one may have taken part of the time.
     *
     * @param unreadTokens the tokens that may have waited when the prompt was sent
     * @param promptTokens the tokens of the prompt
     * @param millis the time from sending the request to its first event, in milliseconds
     */
    public void observed(long unreadTokens, long promptTokens, long millis) {
        if (promptTokens < MIN_SAMPLE_TOKENS || unreadTokens > promptTokens / MAX_UNREAD_DIVISOR) {
            return;
        }
        double sample = promptTokens / Math.max(1, millis - STEP_MILLIS);
        double bounded = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, sample));
        tokensPerMilli += SMOOTHING_FACTOR * (bounded - tokensPerMilli);
    }

    /**
     * Return the estimate.
     *
     * @return the prompt tokens read in a millisecond
     */
    public double tokensPerMilli() {
        return tokensPerMilli;
    }
}
