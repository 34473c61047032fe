package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.PromptWindow;

/**
 * Estimate of the prompt tokens that a runner has not read yet: those that its side reported, and those that this entry
 * has sent since. Confined to the entry's event loop.
 */
final class UnreadPrompts {

    /** Number of unread prompt tokens that count as one running request (decision 0703). */
    private static final long TOKENS_PER_REQUEST = 250;

    private final PromptWindow sent;

    private final Clock clock;

    private long reportedTokens;

    private long reportedAtNanos;

    UnreadPrompts(Clock clock) {
        this.clock = clock;
        this.sent = new PromptWindow(clock);
        this.reportedAtNanos = clock.nowNanos();
    }

    /**
     * Replace the estimate by the tokens recently sent by all entries, this one included, as the side reports them.
     */
    void update(long tokens) {
        sent.clear();
        reportedTokens = tokens;
        reportedAtNanos = clock.nowNanos();
    }

    /** Record a prompt that this entry has sent. */
    void recordSent(int tokens) {
        sent.add(tokens);
    }

    /** Return the number of unread prompt tokens. */
    long tokens() {
        return sent.left(reportedTokens, reportedAtNanos) + sent.tokens();
    }

    /** Return the load of the unread prompts as a number of running requests. */
    int equivalentRequests() {
        return (int) (tokens() / TOKENS_PER_REQUEST);
    }
}
