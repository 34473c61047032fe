package org.arbutusstack.gateway.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Estimates when a model that no runner holds will be loaded, and remembers the callers who were asked to come back
 * then, so that the planner counts them. Used by the entry's loop only.
 */
final class ModelWaits {

    /** A load with the time to plan it and to make room: the longest load that users name, and a third. */
    private static final long LOAD_MILLIS = 3_300;

    /** A load that takes longer than planned is expected to end soon. */
    private static final long OVERDUE_MILLIS = 500;

    private final Clock clock;

    private final Map<String, Long> missingSinceNanos = new HashMap<>();

    private final Deque<Expected> expected = new ArrayDeque<>();

    ModelWaits(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Estimates the time until a runner holds the model. */
    long remainingMillis(InboundRequest request, boolean isBeingLoaded) {
        String key = request.service() + '/' + request.model();
        long nowNanos = clock.nowNanos();
        Long since = missingSinceNanos.get(key);
        boolean stale = since == null || nowNanos - since > 2 * LOAD_MILLIS * Clock.NANOS_PER_MILLI;
        if (stale || !isBeingLoaded) {
            missingSinceNanos.put(key, nowNanos);
            return LOAD_MILLIS;
        }
        long passedMillis = (nowNanos - since) / Clock.NANOS_PER_MILLI;
        return Math.max(OVERDUE_MILLIS, LOAD_MILLIS - passedMillis);
    }

    /** Remembers a caller who was asked to come back. */
    void sentAway(InboundRequest request) {
        expected.addLast(new Expected(request.service(), request.model(), clock.deadlineNanos(LOAD_MILLIS)));
    }

    /** Counts the callers of a service who will come back, by model. */
    Map<String, Integer> expected(String service) {
        Iterator<Expected> iterator = expected.iterator();
        Map<String, Integer> counts = new HashMap<>();
        while (iterator.hasNext()) {
            Expected caller = iterator.next();
            if (clock.isPast(caller.untilNanos())) {
                iterator.remove();
            } else if (caller.service().equals(service)) {
                counts.merge(caller.model(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Holds what a caller will ask for again. */
    private record Expected(String service, String model, long untilNanos) {}
}
