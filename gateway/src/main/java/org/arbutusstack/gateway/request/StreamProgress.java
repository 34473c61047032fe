package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.time.Clock;

/** Times at which the events of a stream were relayed. Confined to the entry's event loop. */
final class StreamProgress {

    private final InboundRequest request;

    private long firstMillis = -1;

    private long lastAtNanos;

    private long maxGapMillis;

    private int runningAtFirst;

    StreamProgress(InboundRequest request) {
        this.request = request;
    }

    /**
     * Record that events were relayed while the runner, by its last status, was running the given number of requests.
     */
    void recordEvents(long nowNanos, int running) {
        if (firstMillis < 0) {
            firstMillis = (nowNanos - request.arrivedNanos()) / Clock.NANOS_PER_MILLI;
            runningAtFirst = running;
        } else {
            maxGapMillis = Math.max(maxGapMillis, (nowNanos - lastAtNanos) / Clock.NANOS_PER_MILLI);
        }
        lastAtNanos = nowNanos;
    }

    /** Return since when the caller has been waiting for an event: since the last one, or since it came. */
    long waitsSinceNanos() {
        return firstMillis < 0 ? request.arrivedNanos() : lastAtNanos;
    }

    /** Return whether the first event or a gap between events exceeded its target. */
    boolean isLate() {
        return isFirstEventLate() || maxGapMillis > request.route().targetGapMillis();
    }

    /** Return whether the first event came after its target, so that the gaps are not what made the stream late. */
    boolean isFirstEventLate() {
        return firstMillis > request.route().targetMillis();
    }

    String describe() {
        return "first_ms=" + firstMillis + " longest_gap_ms=" + maxGapMillis + " running=" + runningAtFirst;
    }
}
