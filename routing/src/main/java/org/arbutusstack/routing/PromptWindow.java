package org.arbutusstack.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Sums the tokens of the prompts that were sent to an engine within the last moments.
 *
 * <p>An engine reads prompts between the tokens of its streams, and reports what it has to do some hundred milliseconds
 * late: what was just sent is the best measure of how long its streams are about to pause. Safe for use by any thread.
 */
public final class PromptWindow {

    /** The longest pause within a stream that users name as their target. */
    private static final long WINDOW_NANOS = 250 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    private final Deque<Prompt> prompts = new ArrayDeque<>();

    private long tokens;

    /**
     * Creates an empty window.
     *
     * @param clock the clock of the process
     */
    public PromptWindow(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Notes a prompt that is being sent.
     *
     * @param promptTokens its tokens
     */
    public synchronized void add(int promptTokens) {
        prompts.add(new Prompt(clock.nowNanos() + WINDOW_NANOS, promptTokens));
        tokens += promptTokens;
    }

    /** Forgets all prompts. */
    public synchronized void clear() {
        prompts.clear();
        tokens = 0;
    }

    /**
     * Sums the prompts.
     *
     * @return their tokens
     */
    public synchronized long tokens() {
        while (!prompts.isEmpty() && clock.isPast(prompts.peek().untilNanos())) {
            tokens -= prompts.poll().tokens();
        }
        return tokens;
    }

    /**
     * Tells what is left of an earlier sum.
     *
     * @param earlierTokens the sum
     * @param atNanos when it was formed
     * @return the part that still lies within the window if prompts came evenly
     */
    public long left(long earlierTokens, long atNanos) {
        long ageNanos = Math.max(0, clock.nowNanos() - atNanos);
        return ageNanos >= WINDOW_NANOS ? 0 : earlierTokens * (WINDOW_NANOS - ageNanos) / WINDOW_NANOS;
    }

    /** A prompt, and until when it counts. */
    private record Prompt(long untilNanos, int tokens) {}
}
