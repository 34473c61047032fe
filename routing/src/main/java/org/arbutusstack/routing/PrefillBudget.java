package org.arbutusstack.routing;

/**
 * Bound on the prompt tokens that entries send to a runner within a short time, so that the streams that run there keep
 * their target gap.
 *
 * <p>An engine reads waiting prompts in pieces between the tokens of its streams, and an event of a stream holds
 * several tokens. While more prompt tokens wait than the engine reads within the target gap, every event takes longer
 * than the gap, so that all streams of the runner are late although their first events were in time. The load is a
 * burst of prompts from many entries at one runner. Stateless and thread-safe.
 *
 * @see PromptWindow
 */
public final class PrefillBudget {

    /** Share of the target gap in which prompts are read; the rest is for the tokens of the event and their setup. */
    private static final double USABLE_GAP_SHARE = 0.8;

    /** Share of the budget that deferrable work may use, so that it does not delay prompts whose callers watch. */
    private static final double DEFERRABLE_SHARE = 0.5;

    private PrefillBudget() {}

    /**
     * Return the prompt tokens that may wait at a runner.
     *
     * @param targetGapMillis the target for the gap between two events, in milliseconds
     * @param tokensPerMilli the prompt tokens that the runner reads in a millisecond
     * @param deferrable whether the request that asks is deferrable
     * @return the number of tokens
     */
    public static long tokens(long targetGapMillis, double tokensPerMilli, boolean deferrable) {
        double tokens = targetGapMillis * USABLE_GAP_SHARE * tokensPerMilli;
        return (long) (deferrable ? tokens * DEFERRABLE_SHARE : tokens);
    }

    /**
     * Return whether one more prompt may be sent.
     *
     * @param budgetTokens the prompt tokens that may wait at the runner
     * @param unreadTokens the prompt tokens that were sent and may not have been read
     * @param promptTokens the tokens of the prompt
     * @return whether the prompt fits; one that is longer than the whole budget fits where nothing else waits
     */
    public static boolean admits(long budgetTokens, long unreadTokens, long promptTokens) {
        return unreadTokens == 0 || unreadTokens + promptTokens <= budgetTokens;
    }
}
