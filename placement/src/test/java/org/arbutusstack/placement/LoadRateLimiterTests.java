package org.arbutusstack.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests for {@link LoadRateLimiter}, with planners that end and are replaced immediately, each starting all loads that
 * it may.
 */
public class LoadRateLimiterTests {

    private static final int SCHEDULES = 500;

    private static final int STEPS = 400;

    private static final long STEP_MILLIS = 50;

    private static final long WINDOW_MILLIS = 5_000;

    /** Permitted number of loads in a window, relative to the rate; {@link #PERMITTED_EXTRA_LOADS} come on top. */
    private static final double PERMITTED_OVERAGE = 1.1;

    private static final double PERMITTED_EXTRA_LOADS = 3;

    /** Share of the rate that the planner uses. */
    private static final double PLANNER_RATE_SHARE = 0.9;

    private static final double PLANNER_BURST = 3;

    @DataProvider
    Object[][] rates() {
        return new Object[][] {{1.8}, {2.4}, {7.0}, {8.5}};
    }

    @Test(dataProvider = "rates")
    public void shouldStayBelowTheWeightStoresBoundWhenPlannersSucceedEachOther(double loadsPerSecond) {
        double maxLoads = loadsPerSecond * WINDOW_MILLIS / 1_000 * PERMITTED_OVERAGE + PERMITTED_EXTRA_LOADS;
        for (int seed = 1; seed <= SCHEDULES; seed++) {
            Random random = new Random(seed);
            ManualClock clock = new ManualClock(1);
            LoadRateLimiter limiter = planner(clock, loadsPerSecond);
            Deque<Long> startedAtMillis = new ArrayDeque<>();
            double endsPerStep = random.nextDouble() / 10;
            for (int step = 0; step < STEPS; step++) {
                clock.advanceMillis(STEP_MILLIS);
                if (random.nextDouble() < endsPerStep) {
                    limiter = planner(clock, loadsPerSecond);
                }
                boolean hasDemand = random.nextInt(4) > 0;
                while (hasDemand && limiter.available() > 0) {
                    limiter.consume();
                    startedAtMillis.addLast(step * STEP_MILLIS);
                }
                while (!startedAtMillis.isEmpty() && startedAtMillis.getFirst() <= step * STEP_MILLIS - WINDOW_MILLIS) {
                    startedAtMillis.removeFirst();
                }
                assertTrue(
                        startedAtMillis.size() <= maxLoads, "seed " + seed + ": " + startedAtMillis.size() + " loads");
            }
        }
    }

    private static LoadRateLimiter planner(ManualClock clock, double loadsPerSecond) {
        LoadRateLimiter limiter = new LoadRateLimiter(clock);
        limiter.rate(loadsPerSecond * PLANNER_RATE_SHARE, PLANNER_BURST);
        return limiter;
    }
}
