package org.arbutusstack.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Decision whether a request that no runner can begin within its target waits for a gap or is refused at once.
 *
 * <p>The load is a burst of some seconds that exceeds what the runners of a model can serve. Callers retry once, so
 * that those who are refused twice get nothing, although a late answer still helps them. A request waits as long as
 * the gaps seen lately reach it before its caller leaves; gaps are what runners have left when they would begin one
 * more request at once, so that no request that can be in time is displaced. Does no I/O; confined to the entry's
 * event loop.
 */
final class LateAdmission {

    /** Share of a caller's patience in which its turn must come, so that time for the answer is left. */
    private static final long PATIENCE_DIVISOR = 2;

    /** Requests that may wait for a model of which no gap has been seen yet. */
    private static final int MIN_WAITING = 4;

    /** Limit on the requests that wait for a model; each is looked at in turn whenever a runner reports. */
    private static final int MAX_WAITING = 64;

    /** Period over which gaps are counted; about the length of the swings within a burst. */
    private static final long WINDOW_MILLIS = 1_000;

    private final PromptAdmission admission;

    private final Clock clock;

    private final Map<String, GapRate> gapsByModel = new HashMap<>();

    LateAdmission(PromptAdmission admission, Clock clock) {
        this.admission = Assert.notNull(admission, "admission");
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Record that a request that could not be in time any more was sent in a gap. */
    void recordGap(InboundRequest request) {
        rateOf(request).record(clock.nowNanos());
    }

    /** Return whether a request waits for a gap, with the number of requests for its model that go before it. */
    boolean mayWait(InboundRequest request, int ahead) {
        long leftMillis = patienceMillis(request) - clock.millisSince(request.arrivedNanos());
        if (!admission.isManaged(request) || leftMillis <= 0) {
            return false;
        }
        double gaps = rateOf(request).perMilli(clock.nowNanos()) * leftMillis;
        return ahead < Math.min(MAX_WAITING, Math.max(MIN_WAITING, gaps));
    }

    private static long patienceMillis(InboundRequest request) {
        Route route = request.route();
        long totalMillis = (request.deadlineNanos() - request.arrivedNanos()) / Clock.NANOS_PER_MILLI;
        return Math.min(route.callerTimeoutMillis(), totalMillis) / PATIENCE_DIVISOR;
    }

    private GapRate rateOf(InboundRequest request) {
        return gapsByModel.computeIfAbsent(
                request.service() + '/' + request.model(), model -> new GapRate(clock.nowNanos()));
    }

    /** Rate of gaps, as the higher one of the current window and the one before. */
    private static final class GapRate {

        private long windowBeganNanos;

        private int current;

        private int previous;

        GapRate(long nowNanos) {
            this.windowBeganNanos = nowNanos;
        }

        void record(long nowNanos) {
            rotate(nowNanos);
            current++;
        }

        double perMilli(long nowNanos) {
            rotate(nowNanos);
            return Math.max(current, previous) / (double) WINDOW_MILLIS;
        }

        private void rotate(long nowNanos) {
            long windows = (nowNanos - windowBeganNanos) / (WINDOW_MILLIS * Clock.NANOS_PER_MILLI);
            if (windows > 0) {
                previous = windows == 1 ? current : 0;
                current = 0;
                windowBeganNanos += windows * WINDOW_MILLIS * Clock.NANOS_PER_MILLI;
            }
        }
    }
}
