package org.arbutusstack.gateway.runner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Simulated engine that works in steps: each step generates one token of every stream and reads a chunk of the waiting
 * prompts.
 */
final class ReplayedEngine {

    /** The figures published for the engines of the scenario further. */
    static final Figures FURTHER = new Figures(24, 5.2, 38.4, 4_096, 1.7, 6);

    /** The figures published for the engines of the scenario barcas. */
    static final Figures BARCAS = new Figures(32, 10.1, 20.4, 2_048, 5.3, 3);

    private final Figures figures;

    private final Deque<Stream> waiting = new ArrayDeque<>();

    private final List<Stream> running = new ArrayList<>();

    private double nowMillis;

    ReplayedEngine(Figures figures) {
        this.figures = figures;
    }

    /**
     * Published figures of an engine.
     *
     * @param slots the requests that run at once
     * @param stepMillis the time of a step without prompts, in milliseconds
     * @param tokensPerMilli the prompt tokens read in a millisecond
     * @param chunkTokens the prompt tokens read in a step at most
     * @param setupMillis the time that each prompt adds to the step in which it is complete, in milliseconds
     * @param tokensPerEvent the tokens in an event of a stream
     */
    record Figures(
            int slots,
            double stepMillis,
            double tokensPerMilli,
            double chunkTokens,
            double setupMillis,
            int tokensPerEvent) {}

    /** Request with the timing that its caller observes. */
    static final class Stream {

        private final double arrivedMillis;

        private final int outputTokens;

        private double unreadTokens;

        private int generatedTokens;

        private double lastEventMillis;

        private double firstEventMillis;

        private double maxGapMillis;

        Stream(double arrivedMillis, double promptTokens, int outputTokens) {
            this.arrivedMillis = arrivedMillis;
            this.unreadTokens = promptTokens;
            this.outputTokens = outputTokens;
        }

        boolean isLate(double targetMillis, double targetGapMillis) {
            return firstEventMillis > targetMillis || maxGapMillis > targetGapMillis;
        }

        private void recordFirstEvent(double atMillis) {
            firstEventMillis = atMillis - arrivedMillis;
            lastEventMillis = atMillis;
        }

        private void recordToken(double atMillis, int tokensPerEvent) {
            generatedTokens++;
            if (generatedTokens % tokensPerEvent == 0 || generatedTokens >= outputTokens) {
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
        double left = figures.chunkTokens();
        while (!waiting.isEmpty() && left > 0 && running.size() + read.size() < figures.slots()) {
            Stream next = waiting.peek();
            double chunk = Math.min(left, next.unreadTokens);
            next.unreadTokens -= chunk;
            left -= chunk;
            if (next.unreadTokens <= 0) {
                read.add(waiting.poll());
            }
        }
        nowMillis += figures.stepMillis()
                + (figures.chunkTokens() - left) / figures.tokensPerMilli()
                + read.size() * figures.setupMillis();
        for (Iterator<Stream> streams = running.iterator(); streams.hasNext(); ) {
            Stream stream = streams.next();
            stream.recordToken(nowMillis, figures.tokensPerEvent());
            if (stream.generatedTokens >= stream.outputTokens) {
                streams.remove();
            }
        }
        read.forEach(stream -> stream.recordFirstEvent(nowMillis));
        running.addAll(read);
    }
}
