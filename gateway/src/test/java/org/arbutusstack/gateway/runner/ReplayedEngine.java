package org.arbutusstack.gateway.runner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Replays an engine in steps: each makes one token of every stream, and reads a piece of the prompts that wait.
 *
 * <p>The figures are those that the users publish for the engines of further.
 */
final class ReplayedEngine {

    private static final int SLOTS = 24;

    private static final double STEP_MILLIS = 5.2;

    private static final double TOKENS_PER_MILLI = 38.4;

    private static final double PIECE_TOKENS = 4_096;

    private static final double SETUP_MILLIS = 1.7;

    private static final int TOKENS_PER_EVENT = 6;

    private final Deque<Stream> waiting = new ArrayDeque<>();

    private final List<Stream> running = new ArrayList<>();

    private double nowMillis;

    /** A request and what its caller saw. */
    static final class Stream {

        private final double sentMillis;

        private final int outputTokens;

        private double unreadTokens;

        private int madeTokens;

        private double lastEventMillis;

        private double firstMillis;

        private double longestGapMillis;

        Stream(double sentMillis, double promptTokens, int outputTokens) {
            this.sentMillis = sentMillis;
            this.unreadTokens = promptTokens;
            this.outputTokens = outputTokens;
        }

        boolean isLate(double targetMillis, double targetGapMillis) {
            return firstMillis > targetMillis || longestGapMillis > targetGapMillis;
        }

        private void began(double atMillis) {
            firstMillis = atMillis - sentMillis;
            lastEventMillis = atMillis;
        }

        private void madeToken(double atMillis) {
            madeTokens++;
            if (madeTokens % TOKENS_PER_EVENT == 0 || madeTokens >= outputTokens) {
                longestGapMillis = Math.max(longestGapMillis, atMillis - lastEventMillis);
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

    /** Works until an instant. */
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
        double left = PIECE_TOKENS;
        while (!waiting.isEmpty() && left > 0 && running.size() + read.size() < SLOTS) {
            Stream next = waiting.peek();
            double piece = Math.min(left, next.unreadTokens);
            next.unreadTokens -= piece;
            left -= piece;
            if (next.unreadTokens <= 0) {
                read.add(waiting.poll());
            }
        }
        nowMillis += STEP_MILLIS + (PIECE_TOKENS - left) / TOKENS_PER_MILLI + read.size() * SETUP_MILLIS;
        for (Iterator<Stream> streams = running.iterator(); streams.hasNext(); ) {
            Stream stream = streams.next();
            stream.madeToken(nowMillis);
            if (stream.madeTokens >= stream.outputTokens) {
                streams.remove();
            }
        }
        read.forEach(stream -> stream.began(nowMillis));
        running.addAll(read);
    }
}
