package org.arbutusstack.store;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Decides how long changes are gathered before the next call to the service.
 *
 * <p>A few calls follow each other quickly, so that a restarted process soon knows all that registers anew. In a fleet
 * whose keys change many times a second each call would bring one change; the long-term rate is one call in a period.
 * Does no I/O; used by one thread.
 */
final class PollPace {

    /** The calls that may follow each other quickly; about as many as the changes of a runner that starts. */
    private static final double MOST_SAVED = 6;

    /** The pause between quick calls: several answers of the service. */
    private static final long QUICK_MILLIS = 100;

    private final Clock clock;

    private final long periodMillis;

    private double saved = MOST_SAVED;

    private long savedAtNanos;

    PollPace(long periodMillis, Clock clock) {
        this.periodMillis = Assert.atLeast(periodMillis, 0, "periodMillis");
        this.clock = Assert.notNull(clock, "clock");
        this.savedAtNanos = clock.nowNanos();
    }

    /** Tells the pause after a call that brought changes. */
    long pauseMillis() {
        if (periodMillis <= QUICK_MILLIS) {
            return periodMillis;
        }
        long nowNanos = clock.nowNanos();
        double earned = (nowNanos - savedAtNanos) / (double) Clock.NANOS_PER_MILLI / periodMillis;
        saved = Math.min(MOST_SAVED, saved + earned) - 1;
        savedAtNanos = nowNanos;
        return saved >= 0 ? QUICK_MILLIS : periodMillis;
    }
}
