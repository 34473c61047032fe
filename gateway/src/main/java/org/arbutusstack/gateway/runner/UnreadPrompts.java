package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.PromptWindow;

/**
 * Estimates what a runner has still to read: the prompts that the process beside it update of, and those that this entry
 * has sent since. Used by the entry's loop only.
 */
final class UnreadPrompts {

    /** The tokens of prompts just sent that weigh as much as a request that runs (decision 0703). */
    private static final long TOKENS_PER_REQUEST = 250;

    private final PromptWindow sent;

    private final Clock clock;

    private long toldTokens;

    private long toldAtNanos;

    UnreadPrompts(Clock clock) {
        this.clock = clock;
        this.sent = new PromptWindow(clock);
        this.toldAtNanos = clock.nowNanos();
    }

    /** Takes what all entries have sent within the last moments, this one included. */
    void update(long tokens) {
        sent.clear();
        toldTokens = tokens;
        toldAtNanos = clock.nowNanos();
    }

    void sent(int tokens) {
        sent.add(tokens);
    }

    /** Tells how many running requests the prompts weigh as much as. */
    int equivalentRequests() {
        return (int) ((sent.left(toldTokens, toldAtNanos) + sent.tokens()) / TOKENS_PER_REQUEST);
    }
}
