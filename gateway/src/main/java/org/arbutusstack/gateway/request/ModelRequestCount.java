package org.arbutusstack.gateway.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Number of requests for one model.
 *
 * @param inFlight all requests in flight, including expected retries of refused callers
 * @param waiting the requests among them for which no runner holds the model
 */
public record ModelRequestCount(int inFlight, int waiting, Map<String, Integer> waitingByVersion) {

    /** Copy the map. */
    public ModelRequestCount {
        waitingByVersion = Map.copyOf(waitingByVersion);
    }

    /** Create a count of requests that any version may serve. */
    public ModelRequestCount(int inFlight, int waiting) {
        this(inFlight, waiting, Map.of());
    }

    /** Count the requests in flight for each model of a service. */
    static Map<String, ModelRequestCount> byModel(Collection<ActiveRequest> inFlight, String service) {
        Map<String, ModelRequestCount> counts = new HashMap<>();
        for (ActiveRequest active : inFlight) {
            InboundRequest request = active.request();
            if (request.service().equals(service) && request.needsModel()) {
                counts.merge(request.model(), of(active), ModelRequestCount::plus);
            }
        }
        return counts;
    }

    private static ModelRequestCount of(ActiveRequest active) {
        if (!active.awaitsModel()) {
            return new ModelRequestCount(1, 0);
        }
        Map<String, Integer> bound =
                active.streamVersion().map(version -> Map.of(version, 1)).orElse(Map.of());
        return new ModelRequestCount(1, 1, bound);
    }

    ModelRequestCount plus(ModelRequestCount other) {
        Map<String, Integer> sum = new HashMap<>(waitingByVersion);
        other.waitingByVersion.forEach((version, count) -> sum.merge(version, count, Integer::sum));
        return new ModelRequestCount(inFlight + other.inFlight, waiting + other.waiting, sum);
    }
}
