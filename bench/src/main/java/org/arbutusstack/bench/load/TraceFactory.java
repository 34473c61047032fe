package org.arbutusstack.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Factory of traces that are determined by their seeds. Stateless and thread-safe. */
public final class TraceFactory {

    /** The mean number of tokens of an answer in a trace of {@link #of}: 80% of 24 tokens and 20% of 48. */
    public static final double MEAN_TOKENS = 28.8;

    private static final int INTERACTIVE_TOKENS = 24;

    private static final int BULK_TOKENS = 48;

    private static final double BULK_SHARE = 0.2;

    private static final double ADAPTER_SHARE = 0.6;

    private static final double ZIPF_EXPONENT = 0.9;

    private static final int BURST_MODELS = 2;

    private static final long INTERACTIVE_DEADLINE_MILLIS = 2_000;

    private static final long BULK_DEADLINE_MILLIS = 8_000;

    private static final int INTERACTIVE_URGENCY = 1;

    private static final int BULK_URGENCY = 6;

    private static final int PROMPTS = 40;

    private static final double NANOS_PER_SECOND = 1e9;

    private TraceFactory() {}

    /**
     * Create a trace of Poisson arrivals that request the models {@code model-0}, {@code model-1} and so on with equal
     * probability.
     *
     * @param seed the seed of the trace
     * @param requestsPerSecond the mean rate, in requests per second
     * @param seconds the length of the trace, in seconds
     * @param models the number of models
     * @param tokens the number of tokens of each answer
     * @return the trace
     */
    public static List<Arrival> uniform(long seed, double requestsPerSecond, long seconds, int models, int tokens) {
        Random random = new Random(seed);
        List<Arrival> trace = new ArrayList<>();
        long atNanos = nextGapNanos(random, requestsPerSecond);
        while (atNanos < TimeUnit.SECONDS.toNanos(seconds)) {
            String target = "model-" + random.nextInt(models);
            String prompt = "boots of squad " + random.nextInt(1_000) + " number " + trace.size();
            trace.add(new Arrival(atNanos, target, INTERACTIVE_URGENCY, prompt, tokens, INTERACTIVE_DEADLINE_MILLIS));
            atNanos += nextGapNanos(random, requestsPerSecond);
        }
        return trace;
    }

    /**
     * Create a trace of Poisson arrivals over models of Zipf-distributed popularity.
     *
     * <p>The popularity of the models follows from {@code popularitySeed} alone, so that several traces can share it.
     *
     * @param popularitySeed the seed of the popularity of the models
     * @param seed the seed of all other choices
     * @param workload the demand to generate
     * @return the trace
     */
    public static List<Arrival> of(long popularitySeed, long seed, Workload workload) {
        List<Integer> order = IntStream.range(0, workload.models()).boxed().collect(Collectors.toList());
        Collections.shuffle(order, new Random(popularitySeed));
        Random random = new Random(seed);
        double[] cumulative = cumulativeZipf(workload.models());
        List<Arrival> trace = new ArrayList<>();
        long lengthNanos = TimeUnit.SECONDS.toNanos(workload.seconds());
        long atNanos = nextGapNanos(random, workload.requestsPerSecond());
        while (atNanos < lengthNanos) {
            double elapsed = (double) atNanos / lengthNanos;
            int rank = nextRank(random, cumulative, workload.scenario(), elapsed);
            int model = order.get(rank);
            trace.add(nextArrival(random, atNanos, model, workload));
            atNanos += nextGapNanos(random, workload.requestsPerSecond());
        }
        return trace;
    }

    private static int nextRank(Random random, double[] cumulative, Scenario scenario, double elapsed) {
        if (random.nextDouble() < scenario.burstShare(elapsed)) {
            return cumulative.length / 2 + random.nextInt(BURST_MODELS);
        }
        double sample = random.nextDouble();
        int rank = 0;
        while (cumulative[rank] < sample) {
            rank++;
        }
        return scenario.hasShifted(elapsed) ? (rank + cumulative.length / 2) % cumulative.length : rank;
    }

    private static Arrival nextArrival(Random random, long atNanos, int model, Workload workload) {
        int adaptersOfModel = (workload.adapters() - 1 - model) / workload.models() + 1;
        boolean adapted = random.nextDouble() < ADAPTER_SHARE && adaptersOfModel > 0;
        String target =
                adapted ? "adapter-" + (model + workload.models() * random.nextInt(adaptersOfModel)) : "model-" + model;
        String prompt = "boots and badges, wording " + random.nextInt(PROMPTS);
        boolean bulk = random.nextDouble() < BULK_SHARE;
        return bulk
                ? new Arrival(atNanos, target, BULK_URGENCY, prompt, BULK_TOKENS, BULK_DEADLINE_MILLIS)
                : new Arrival(
                        atNanos, target, INTERACTIVE_URGENCY, prompt, INTERACTIVE_TOKENS, INTERACTIVE_DEADLINE_MILLIS);
    }

    private static double[] cumulativeZipf(int count) {
        double[] cumulative = new double[count];
        double sum = 0;
        for (int rank = 0; rank < count; rank++) {
            sum += Math.pow(rank + 1, -ZIPF_EXPONENT);
            cumulative[rank] = sum;
        }
        for (int rank = 0; rank < count; rank++) {
            cumulative[rank] /= sum;
        }
        cumulative[count - 1] = 1;
        return cumulative;
    }

    private static long nextGapNanos(Random random, double requestsPerSecond) {
        return Math.round(-Math.log(1 - random.nextDouble()) / requestsPerSecond * NANOS_PER_SECOND);
    }
}
