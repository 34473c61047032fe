package org.arbutusstack.gateway.allotment;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Estimate of what the requests of a team at one entry cost, from those of about the last half second; whether they are
 * admitted does not matter. Does no I/O; confined to the entry's event loop.
 */
final class DemandEstimate {

    /** Time constant of the decay; twice the time for which an entry keeps tokens. */
    private static final double DECAY_SECONDS = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;

    private double units;

    private double requests;

    private double meanCost;

    private long updatedAtNanos;

    DemandEstimate(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.updatedAtNanos = clock.nowNanos();
    }

    private void decay() {
        long nowNanos = clock.nowNanos();
        double factor = Math.exp(-(nowNanos - updatedAtNanos) / NANOS_PER_SECOND / DECAY_SECONDS);
        units *= factor;
        requests *= factor;
        updatedAtNanos = nowNanos;
    }

    void record(double cost) {
        decay();
        units += cost;
        requests++;
        meanCost = units / requests;
    }

    /** Return the demand in units per second. */
    double perSecond() {
        decay();
        return units / DECAY_SECONDS;
    }

    /** Return the mean cost of the last requests, in units. */
    double meanCost() {
        return meanCost;
    }
}
