package org.arbutusstack.bench.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.arbutusstack.testkit.Json;

/**
 * Gathers what became of the requests of a trace.
 *
 * <p>Times to the first token run from the instant at which the trace wanted the request sent, so that a late sender
 * hides nothing (correction for coordinated omission). Safe for use by any thread.
 */
public final class LoadResult {

    private static final long LONGEST_MICROS = 120_000_000;

    private static final int DIGITS = 3;

    private static final double MICROS_PER_MILLI = 1e3;

    private final Histogram firstToken = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);

    private final Histogram betweenTokens = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);

    private final Histogram sendLag = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);

    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

    private final Map<String, Integer> refusals = new TreeMap<>();

    private int interactive;

    private int interactiveInTime;

    void sent(long lagNanos) {
        sendLag.recordValue(microsOf(lagNanos));
    }

    void firstToken(long nanos) {
        firstToken.recordValue(microsOf(nanos));
    }

    void nextToken(long nanos) {
        betweenTokens.recordValue(microsOf(nanos));
    }

    private static long microsOf(long nanos) {
        return Math.max(0, Math.min(LONGEST_MICROS, nanos / 1_000));
    }

    synchronized void ended(Arrival arrival, Outcome outcome, String reason) {
        outcomes.merge(outcome, 1, Integer::sum);
        if (outcome != Outcome.IN_TIME) {
            refusals.merge(outcome + ":" + reason, 1, Integer::sum);
        }
        if (!arrival.isBulk()) {
            interactive++;
            interactiveInTime += outcome == Outcome.IN_TIME ? 1 : 0;
        }
    }

    /**
     * Counts the requests with an outcome.
     *
     * @param outcome the outcome
     * @return the number
     */
    public synchronized int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /**
     * Counts the requests that have ended.
     *
     * @return the number
     */
    public synchronized int ended() {
        return outcomes.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Computes the share served in time.
     *
     * @return the share of all requests ended, zero to one
     */
    public double attainment() {
        return (double) count(Outcome.IN_TIME) / Math.max(1, ended());
    }

    /**
     * Describes the result.
     *
     * @return the counts and percentiles in JSON
     */
    public synchronized ObjectNode json() {
        ObjectNode node = Json.object();
        node.put("requests", ended());
        outcomes.forEach((outcome, count) -> node.put(outcome.name().toLowerCase(Locale.ROOT), count));
        node.put("attainment", attainment());
        node.put("interactive_attainment", (double) interactiveInTime / Math.max(1, interactive));
        percentiles(node.putObject("first_token_millis"), firstToken);
        percentiles(node.putObject("between_tokens_millis"), betweenTokens);
        percentiles(node.putObject("send_lag_millis"), sendLag);
        ObjectNode reasons = node.putObject("not_in_time");
        refusals.forEach(reasons::put);
        return node;
    }

    private static void percentiles(ObjectNode node, Histogram histogram) {
        node.put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI);
        node.put("p95", histogram.getValueAtPercentile(95) / MICROS_PER_MILLI);
        node.put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
