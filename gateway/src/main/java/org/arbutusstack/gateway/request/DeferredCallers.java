package org.arbutusstack.gateway.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Remembers the callers who were asked to come back when their model is loaded or its runners are less crowded, so that
 * the planner counts them.
 *
 * <p>Used by the entry's loop only.
 *
 * @see LoadForecast
 */
final class ModelWaits {

    private final Clock clock;

    private final Deque<Expected> expected = new ArrayDeque<>();

    ModelWaits(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Remembers a caller who was asked to come back after so long, since no runner holds its model. */
    void sentAway(InboundRequest request, long returnMillis) {
        add(request, returnMillis, new ModelRequestCount(1, 1));
    }

    /** Remembers a caller who was asked to come back after so long, since the copies of its model are too few. */
    void crowdedOut(InboundRequest request, long returnMillis) {
        add(request, returnMillis, new ModelRequestCount(1, 0));
    }

    private void add(InboundRequest request, long returnMillis, ModelRequestCount use) {
        expected.addLast(new Expected(request.service(), request.model(), use, clock.deadlineNanos(returnMillis)));
    }

    /** Counts the callers of a service who will come back, by model. */
    Map<String, ModelRequestCount> expected(String service) {
        Iterator<Expected> iterator = expected.iterator();
        Map<String, ModelRequestCount> counts = new HashMap<>();
        while (iterator.hasNext()) {
            Expected caller = iterator.next();
            if (clock.isPast(caller.untilNanos())) {
                iterator.remove();
            } else if (caller.service().equals(service)) {
                counts.merge(caller.model(), caller.use(), ModelRequestCount::plus);
            }
        }
        return counts;
    }

    /** Holds what a caller will ask for again. */
    private record Expected(String service, String model, ModelRequestCount use, long untilNanos) {}
}
