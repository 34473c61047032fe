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
 * Outcomes and latencies of the requests of a trace.
 *
 * <p>The time to the first token is measured from the scheduled send time of the request, so that a delayed sender does
 * not hide latency (correction for coordinated omission). Thread-safe.
 */
public final class LoadResult {

    private static final long MAX_MICROS = 120_000_000;

    private static final int SIGNIFICANT_DIGITS = 3;

    private static final double MICROS_PER_MILLI = 1e3;

    private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

    private final Histogram betweenTokens = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

    private final Histogram sendLag = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

    private final Map<String, Integer> failureReasons = new TreeMap<>();

    private int interactive;

    private int interactiveInTime;

    void recordSendLag(long lagNanos) {
        sendLag.recordValue(toMicros(lagNanos));
    }

    void recordFirstToken(long nanos) {
        firstToken.recordValue(toMicros(nanos));
    }

    void recordTokenGap(long nanos) {
        betweenTokens.recordValue(toMicros(nanos));
    }

    private static long toMicros(long nanos) {
        return Math.max(0, Math.min(MAX_MICROS, nanos / 1_000));
    }

    synchronized void recordOutcome(Arrival arrival, Outcome outcome, String reason) {
        outcomes.merge(outcome, 1, Integer::sum);
        if (outcome != Outcome.IN_TIME) {
            failureReasons.merge(outcome + ":" + reason, 1, Integer::sum);
        }
        if (!arrival.isBulk()) {
            interactive++;
            interactiveInTime += outcome == Outcome.IN_TIME ? 1 : 0;
        }
    }

    /**
     * Return the number of requests with an outcome.
     *
     * @param outcome the outcome
     * @return the number
     */
    public synchronized int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /**
     * Return the number of requests that have completed, with any outcome.
     *
     * @return the number
     */
    public synchronized int completedCount() {
        return outcomes.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Return the share of the requests that were served in time.
     *
     * @return the share of all completed requests, from zero to one
     */
    public double attainment() {
        return (double) count(Outcome.IN_TIME) / Math.max(1, completedCount());
    }

    /**
     * Return the result as JSON.
     *
     * @return the counts of the outcomes and the percentiles of the latencies
     */
    public synchronized ObjectNode json() {
        ObjectNode node = Json.object();
        node.put("requests", completedCount());
        outcomes.forEach((outcome, count) -> node.put(outcome.name().toLowerCase(Locale.ROOT), count));
        node.put("attainment", attainment());
        node.put("interactive_attainment", (double) interactiveInTime / Math.max(1, interactive));
        percentiles(node.putObject("first_token_millis"), firstToken);
        percentiles(node.putObject("between_tokens_millis"), betweenTokens);
        percentiles(node.putObject("send_lag_millis"), sendLag);
        ObjectNode reasonsNode = node.putObject("not_in_time");
        failureReasons.forEach(reasonsNode::put);
        return node;
    }

    private static void percentiles(ObjectNode node, Histogram histogram) {
        node.put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI);
        node.put("p95", histogram.getValueAtPercentile(95) / MICROS_PER_MILLI);
        node.put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
