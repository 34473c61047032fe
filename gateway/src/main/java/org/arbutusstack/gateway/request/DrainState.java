package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/** Whether an entry is draining, and which requests it then still accepts. Confined to the entry's event loop. */
final class DrainState {

    /** Time reserved for a plain request before shutdown: more than twice the longest target specified for one. */
    private static final long PLAIN_REQUEST_MILLIS = 1_000;

    /** Retry-After for requests refused while draining: another entry can serve them at once. */
    static final long RETRY_AFTER_MILLIS = 50;

    private final Clock clock;

    private boolean draining;

    /** Time at which the process ends at the latest. */
    private long endNanos;

    DrainState(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Return the refusal of a request that another entry can serve. */
    static Refusal refusal() {
        return Refusal.notRun(RefusalReason.LEAVING, "this entry is leaving");
    }

    boolean isDraining() {
        return draining;
    }

    /** Start draining; the process ends at the given time at the latest. */
    void start(long endAtNanos) {
        draining = true;
        endNanos = endAtNanos;
    }

    /**
     * Return whether a new request is accepted. While draining, streams are not, since they may outlast the process. A
     * plain request that may be repeated is accepted if it is likely to be answered in time: its caller can repeat it
     * elsewhere. One that may run only once is accepted only if it ends before the process in any case.
     */
    boolean accepts(InboundRequest request) {
        if (!draining) {
            return true;
        }
        if (request.route().kind().isStreaming()) {
            return false;
        }
        return request.route().mayRepeat()
                ? !clock.isPast(endNanos - PLAIN_REQUEST_MILLIS * Clock.NANOS_PER_MILLI)
                : request.deadlineNanos() - endNanos <= 0;
    }
}
