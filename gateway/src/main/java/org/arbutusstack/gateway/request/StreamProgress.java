package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.time.Clock;

/** Measures when the events of a stream were passed on. Used by the entry's loop only. */
final class StreamPace {

    private final InboundRequest request;

    private long firstMillis = -1;

    private long lastAtNanos;

    private long longestGapMillis;

    private int runningAtFirst;

    StreamPace(InboundRequest request) {
        this.request = request;
    }

    /** Notes that events were passed on; the runner worked on so many requests as far as is known. */
    void passed(long nowNanos, int running) {
        if (firstMillis < 0) {
            firstMillis = (nowNanos - request.arrivedNanos()) / Clock.NANOS_PER_MILLI;
            runningAtFirst = running;
        } else {
            longestGapMillis = Math.max(longestGapMillis, (nowNanos - lastAtNanos) / Clock.NANOS_PER_MILLI);
        }
        lastAtNanos = nowNanos;
    }

    /** Tells whether the first event or a pause was over its target. */
    boolean isLate() {
        return firstMillis > request.route().targetMillis()
                || longestGapMillis > request.route().targetGapMillis();
    }

    String describe() {
        return "first_ms=" + firstMillis + " longest_gap_ms=" + longestGapMillis + " running=" + runningAtFirst;
    }
}
