package org.arbutusstack.gateway.request;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/** Whether an entry is draining, and which requests it then still accepts. Confined to the entry's event loop. */
final class DrainState {

    /** Time reserved for a plain request before shutdown: more than twice the longest target specified for one. */
    private static final long PLAIN_REQUEST_MILLIS = 1_000;

    private final Clock clock;

    private boolean draining;

    /** Time until which plain requests are accepted while this entry is draining. */
    private long plainUntilNanos;

    DrainState(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    boolean isDraining() {
        return draining;
    }

    /** Start draining; the process ends at the given time at the latest. */
    void start(long endNanos) {
        draining = true;
        plainUntilNanos = endNanos - PLAIN_REQUEST_MILLIS * Clock.NANOS_PER_MILLI;
    }

    /**
     * Return whether a new request is accepted. While draining, streams may outlast the process; a plain request is
     * answered before it ends, or is refused with its actual outcome.
     */
    boolean accepts(InboundRequest request) {
        return !draining || !request.route().kind().isStreaming() && !clock.isPast(plainUntilNanos);
    }
}
