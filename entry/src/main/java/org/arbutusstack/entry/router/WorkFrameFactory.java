package org.arbutusstack.entry.router;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.WorkFrame;

/** Factory for the frames with which requests are sent to sides. */
final class WorkFrameFactory {

    private static final long MAX_DEADLINE_MARGIN_MILLIS = 100;

    private static final int DEADLINE_MARGIN_DIVISOR = 10;

    private final Clock clock;

    WorkFrameFactory(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Create the frame of the current attempt of a request. */
    WorkFrame frameOf(PendingRequest pending) {
        CallerRequest request = pending.request();
        return new WorkFrame(
                request.id(),
                pending.attempt(),
                sideBudgetMillis(request),
                request.priority(),
                request.routing().service(),
                request.model(),
                request.adapter(),
                request.idempotent(),
                request.idempotencyKey(),
                request.method(),
                request.path(),
                request.stream(),
                request.stream() ? pending.delivered() : 0,
                request.body());
    }

    /** Return less than the time left, so that the refusal of a request that never ran arrives in time. */
    private long sideBudgetMillis(CallerRequest request) {
        long leftMillis = clock.millisUntil(request.deadlineNanos());
        return leftMillis - Math.min(MAX_DEADLINE_MARGIN_MILLIS, leftMillis / DEADLINE_MARGIN_DIVISOR);
    }
}
