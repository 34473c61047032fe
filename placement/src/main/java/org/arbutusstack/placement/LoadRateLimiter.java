package org.arbutusstack.placement;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Token bucket that limits the rate of loads from the weight store, used by the elected planner.
 *
 * <p>The bucket starts empty when a planner takes over, since its predecessor may just have used up the burst. Not
 * thread-safe.
 */
public final class LoadRateLimiter {

    private final Clock clock;

    private double loadsPerNano;

    private double maxAvailable;

    private double available;

    private long refilledAtNanos;

    /**
     * Create a limiter whose bucket is empty.
     *
     * @param clock the clock of the process
     */
    public LoadRateLimiter(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.refilledAtNanos = clock.nowNanos();
    }

    /**
     * Set the rate and the burst.
     *
     * @param perSecond the permitted loads per second
     * @param burst the maximum number of loads that may begin at once
     */
    public void rate(double perSecond, double burst) {
        refill();
        loadsPerNano = perSecond / 1e9;
        maxAvailable = burst;
    }

    private void refill() {
        long nowNanos = clock.nowNanos();
        available = Math.min(maxAvailable, available + (nowNanos - refilledAtNanos) * loadsPerNano);
        refilledAtNanos = nowNanos;
    }

    /**
     * Return how many loads may begin now.
     *
     * @return the number of whole tokens in the bucket
     */
    public int available() {
        refill();
        return (int) available;
    }

    /** Take one token for a load that begins. */
    public void consume() {
        refill();
        available -= 1;
    }

    /** Empty the bucket, as after a change of planner. */
    public void reset() {
        available = 0;
        refilledAtNanos = clock.nowNanos();
    }
}
