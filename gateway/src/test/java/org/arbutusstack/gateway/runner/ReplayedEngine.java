package org.arbutusstack.gateway.runner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Simulated engine that works in steps: each step generates one token of every stream and reads a chunk of the waiting
 * prompts.
 *
 * <p>The figures are those published for the engines of the scenario further.
 */
final class ReplayedEngine {

    private static final int SLOTS = 24;

    private static final double STEP_MILLIS = 5.2;

    private static final double TOKENS_PER_MILLI = 38.4;

    private static final double CHUNK_TOKENS = 4_096;

    private static final double SETUP_MILLIS = 1.7;

    private static final int TOKENS_PER_EVENT = 6;

    private final Deque<Stream> waiting = new ArrayDeque<>();

    private final List<Stream> running = new ArrayList<>();

    private double nowMillis;

    /** Request with the timing that its caller observes. */
    static final class Stream {

        private final double sentMillis;

        private final int outputTokens;

        private double unreadTokens;

        private int generatedTokens;

        private double lastEventMillis;

        private double firstEventMillis;

        private double maxGapMillis;

        Stream(double sentMillis, double promptTokens, int outputTokens) {
            this.sentMillis = sentMillis;
            this.unreadTokens = promptTokens;
            this.outputTokens = outputTokens;
        }

        boolean isLate(double targetMillis, double targetGapMillis) {
            return firstEventMillis > targetMillis || maxGapMillis > targetGapMillis;
        }

        private void recordFirstEvent(double atMillis) {
            firstEventMillis = atMillis - sentMillis;
            lastEventMillis = atMillis;
        }

        private void recordToken(double atMillis) {
            generatedTokens++;
            if (generatedTokens % TOKENS_PER_EVENT == 0 || generatedTokens >= outputTokens) {
                maxGapMillis = Math.max(maxGapMillis, atMillis - lastEventMillis);
                lastEventMillis = atMillis;
            }
        }
    }

    void send(Stream stream) {
        waiting.add(stream);
    }

    int requests() {
        return waiting.size() + running.size();
    }

    /** Run the engine until an instant. */
    void advance(double untilMillis) {
        while (nowMillis < untilMillis) {
            if (waiting.isEmpty() && running.isEmpty()) {
                nowMillis = untilMillis;
                return;
            }
            step();
        }
    }

    private void step() {
        List<Stream> read = new ArrayList<>();
        double left = CHUNK_TOKENS;
        while (!waiting.isEmpty() && left > 0 && running.size() + read.size() < SLOTS) {
            Stream next = waiting.peek();
            double chunk = Math.min(left, next.unreadTokens);
            next.unreadTokens -= chunk;
            left -= chunk;
            if (next.unreadTokens <= 0) {
                read.add(waiting.poll());
            }
        }
        nowMillis += STEP_MILLIS + (CHUNK_TOKENS - left) / TOKENS_PER_MILLI + read.size() * SETUP_MILLIS;
        for (Iterator<Stream> streams = running.iterator(); streams.hasNext(); ) {
            Stream stream = streams.next();
            stream.recordToken(nowMillis);
            if (stream.generatedTokens >= stream.outputTokens) {
                streams.remove();
            }
        }
        read.forEach(stream -> stream.recordFirstEvent(nowMillis));
        running.addAll(read);
    }
}
