package org.arbutusstack.side;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Measures how long the backend server takes for requests, by model. Used by the side's duty only.
 */
final class ServiceTimes {

    private static final int MOST_MODELS = 1_024;

    private static final int WEIGHT_OF_HISTORY = 7;

    private static final int WEIGHT_IN_ALL = WEIGHT_OF_HISTORY + 1;

    private final Map<String, Long> meanNanosByModel = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST_MODELS;
        }
    };

    private long meanNanos;

    void add(String model, long nanos) {
        meanNanosByModel.merge(model, nanos, ServiceTimes::next);
        meanNanos = meanNanos == 0 ? nanos : next(meanNanos, nanos);
    }

    private static long next(long mean, long nanos) {
        return (mean * WEIGHT_OF_HISTORY + nanos) / WEIGHT_IN_ALL;
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
}
