package org.arbutusstack.placement;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Bounds how often loads from the weight store begin, for the one process that plans.
 *
 * <p>A new planner begins with nothing in hand, since its predecessor may just have spent all. To be used by one
 * thread.
 */
public final class LoadRateLimiter {

    private final Clock clock;

    private double perNano;

    private double most;

    private double available;

    private long filledAtNanos;

    /**
     * Creates a pacer that has nothing in hand.
     *
     * @param clock the clock of the process
     */
    public LoadRateLimiter(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.filledAtNanos = clock.nowNanos();
    }

    /**
     * Sets the rate.
     *
     * @param perSecond the loads permitted a second
     * @param burst the loads that can be saved up
     */
    public void rate(double perSecond, double burst) {
        fill();
        perNano = perSecond / 1e9;
        most = burst;
    }

    private void fill() {
        long nowNanos = clock.nowNanos();
        available = Math.min(most, available + (nowNanos - filledAtNanos) * perNano);
        filledAtNanos = nowNanos;
    }

    /**
     * Tells how many loads may begin now.
     *
     * @return their number
     */
    public int available() {
        fill();
        return (int) available;
    }

    /** Counts a load that begins. */
    public void consume() {
        fill();
        available -= 1;
    }

    /** Forgets what was saved up, as after a change of planner. */
    public void reset() {
        available = 0;
        filledAtNanos = clock.nowNanos();
    }
}
