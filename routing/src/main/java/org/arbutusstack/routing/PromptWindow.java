package org.arbutusstack.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Sliding window over the tokens of the prompts that were recently sent to an engine.
 *
 * <p>An engine processes prompts between the tokens of its streams, and its load reports lag by several hundred
 * milliseconds. The tokens just sent are therefore the best measure of how long its streams are about to pause.
 * Thread-safe.
 */
public final class PromptWindow {

    /** Longest pause within a stream that users set as their target. */
    private static final long WINDOW_NANOS = 250 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    private final Deque<Prompt> prompts = new ArrayDeque<>();

    private long tokens;

    /**
     * Create an empty window.
     *
     * @param clock the clock of the process
     */
    public PromptWindow(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Add a prompt that is being sent.
     *
     * @param promptTokens the number of tokens of the prompt
     */
    public synchronized void add(int promptTokens) {
        prompts.add(new Prompt(clock.nowNanos() + WINDOW_NANOS, promptTokens));
        tokens += promptTokens;
    }

    /** Remove all prompts. */
    public synchronized void clear() {
        prompts.clear();
        tokens = 0;
    }

    /**
     * Return the number of tokens in the window.
     *
     * @return the sum over all prompts that have not left the window
     */
    public synchronized long tokens() {
        while (!prompts.isEmpty() && clock.isPast(prompts.peek().expiresAtNanos())) {
            tokens -= prompts.poll().tokens();
        }
        return tokens;
    }

    /**
     * Estimate how many tokens of an earlier sum are still in the window.
     *
     * @param earlierTokens the number of tokens in the window at that time
     * @param atNanos the time of the sum, in nanoseconds of the process clock
     * @return the number of tokens still in the window, assuming that prompts arrived at a constant rate
     */
    public long left(long earlierTokens, long atNanos) {
        long ageNanos = Math.max(0, clock.nowNanos() - atNanos);
        return ageNanos >= WINDOW_NANOS ? 0 : earlierTokens * (WINDOW_NANOS - ageNanos) / WINDOW_NANOS;
    }

    /** Prompt and the time until which it is in the window. */
    private record Prompt(long expiresAtNanos, int tokens) {}
}
