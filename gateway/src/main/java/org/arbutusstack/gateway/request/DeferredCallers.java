package org.arbutusstack.gateway.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Tracker of the callers that were asked to retry once their model is loaded or its runners are no longer at capacity,
 * so that the planner counts them as demand.
 *
 * <p>Confined to the entry's event loop.
 *
 * @see LoadForecast
 */
final class DeferredCallers {

    private final Clock clock;

    private final Deque<ExpectedRetry> expectedRetries = new ArrayDeque<>();

    DeferredCallers(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Add a caller that was refused since no runner holds its model. */
    void addAwaitingModel(InboundRequest request, long retryAfterMillis) {
        add(request, retryAfterMillis, new ModelRequestCount(1, 1));
    }

    /** Add a caller that was refused since all runners that can serve it are at capacity, if it needs a model. */
    void addRefusedAtCapacity(InboundRequest request, long retryAfterMillis) {
        if (request.needsModel()) {
            add(request, retryAfterMillis, new ModelRequestCount(1, 0));
        }
    }

    private void add(InboundRequest request, long retryAfterMillis, ModelRequestCount requestCount) {
        expectedRetries.addLast(new ExpectedRetry(
                request.service(), request.model(), requestCount, clock.deadlineNanos(retryAfterMillis)));
    }

    /** Count the expected retries for a service by model, and remove those whose time has passed. */
    Map<String, ModelRequestCount> requestsByModel(String service) {
        Iterator<ExpectedRetry> iterator = expectedRetries.iterator();
        Map<String, ModelRequestCount> counts = new HashMap<>();
        while (iterator.hasNext()) {
            ExpectedRetry retry = iterator.next();
            if (clock.isPast(retry.untilNanos())) {
                iterator.remove();
            } else if (retry.service().equals(service)) {
                counts.merge(retry.model(), retry.requestCount(), ModelRequestCount::plus);
            }
        }
        return counts;
    }

    /** A request that a caller is expected to send again. */
    private record ExpectedRetry(String service, String model, ModelRequestCount requestCount, long untilNanos) {}
}
