package org.arbutusstack.side;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimator of the service times of the backend server by model, from moving averages of measured runs. Confined to the
 * side's event loop.
 */
final class ServiceTimeEstimator {

    private static final int MAX_MODELS = 1_024;

    private static final int HISTORY_WEIGHT = 7;

    /** High enough that a single stall, which delays all slots at once, does not lower the rate; see decision 0304. */
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
     * Return the estimated time until a queued request is answered.
     *
     * @param model the model, empty for a plain service
     * @param ahead the number of requests that run before it
     * @param slots the number of requests that run at the same time
     * @return the time from now in nanoseconds, zero if nothing was measured yet
     */
    long estimateNanos(String model, int ahead, int slots) {
        return meanNanos * ahead / slots + meanNanosByModel.getOrDefault(model, 0L);
    }

    /**
     * Return the estimated throughput while all slots are taken, from the shorter of the two means.
     *
     * @param slots the number of requests that run at the same time
     * @return the requests per second, zero if nothing was measured yet
     */
    double requestsPerSecond(int slots) {
        long shorterMeanNanos = Math.min(meanNanos, smoothedMeanNanos);
        return shorterMeanNanos == 0 ? 0 : (double) TimeUnit.SECONDS.toNanos(1) * slots / shorterMeanNanos;
    }
}
