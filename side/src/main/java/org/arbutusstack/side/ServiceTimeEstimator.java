package org.arbutusstack.side;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long the backend server takes for requests, by model. Used by the side's duty only.
 */
final class ServiceTimeEstimator {

    private static final int MAX_MODELS = 1_024;

    private static final int HISTORY_WEIGHT = 7;

    /** Keeps one stall, which all slots feel at once, from lowering the rate; source: decision 0304. */
    private static final int RATE_HISTORY_WEIGHT = 63;

    private final Map<String, Long> meanNanosByModel = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_MODELS;
        }
    };

    private long meanNanos;

    private long smoothedMeanNanos;

    void add(String model, long nanos) {
        meanNanosByModel.merge(model, nanos, (mean, latest) -> updatedMean(mean, latest, HISTORY_WEIGHT));
        meanNanos = meanNanos == 0 ? nanos : updatedMean(meanNanos, nanos, HISTORY_WEIGHT);
        smoothedMeanNanos = smoothedMeanNanos == 0 ? nanos : updatedMean(smoothedMeanNanos, nanos, RATE_HISTORY_WEIGHT);
    }

    private static long updatedMean(long mean, long nanos, int historyWeight) {
        return (mean * historyWeight + nanos) / (historyWeight + 1);
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
    double requestsPerSecond(int slots) {
        long shorterMeanNanos = Math.min(meanNanos, smoothedMeanNanos);
        return shorterMeanNanos == 0 ? 0 : (double) TimeUnit.SECONDS.toNanos(1) * slots / shorterMeanNanos;
    }
}
