package org.arbutusstack.side;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long the backend server takes for requests, by model. Used by the side's duty only.
 */
final class ServiceTimes {

    private static final int MOST_MODELS = 1_024;

    private static final int WEIGHT_OF_HISTORY = 7;

    /** Keeps one stall, which all slots feel at once, from lowering the rate; source: decision 0304. */
    private static final int WEIGHT_OF_HISTORY_IN_RATE = 63;

    private final Map<String, Long> meanNanosByModel = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST_MODELS;
        }
    };

    private long meanNanos;

    private long steadyMeanNanos;

    void add(String model, long nanos) {
        meanNanosByModel.merge(model, nanos, (mean, latest) -> next(mean, latest, WEIGHT_OF_HISTORY));
        meanNanos = meanNanos == 0 ? nanos : next(meanNanos, nanos, WEIGHT_OF_HISTORY);
        steadyMeanNanos = steadyMeanNanos == 0 ? nanos : next(steadyMeanNanos, nanos, WEIGHT_OF_HISTORY_IN_RATE);
    }

    private static long next(long mean, long nanos, int weightOfHistory) {
        return (mean * weightOfHistory + nanos) / (weightOfHistory + 1);
    }

    /**
     * Estimates when a request that has to wait would be answered.
     *
     * @param model the model
     * @param ahead the requests that go before it
     * @param slots the requests that run at once
     * @return the time from now in nanoseconds, zero if nothing was measured yet
     */
    long estimateNanos(String model, int ahead, int slots) {
        return meanNanos * ahead / slots + meanNanosByModel.getOrDefault(model, 0L);
    }

    /**
     * Estimates how many requests are answered while all slots are taken.
     *
     * @param slots the requests that run at once
     * @return the requests a second, zero if nothing was measured yet
     */
    double runsPerSecond(int slots) {
        long quickerNanos = Math.min(meanNanos, steadyMeanNanos);
        return quickerNanos == 0 ? 0 : (double) TimeUnit.SECONDS.toNanos(1) * slots / quickerNanos;
    }
}
