package org.arbutusstack.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replays planners that end and are succeeded at once, each taking all loads that it may. */
public class LoadRateLimiterTests {

    private static final int SCHEDULES = 500;

    private static final int STEPS = 400;

    private static final long STEP_MILLIS = 50;

    private static final long WINDOW_MILLIS = 5_000;

    /** What the users permit beyond the rate in a window: a tenth and three loads. */
    private static final double OVERAGE = 1.1;

    private static final double SPARE_LOADS = 3;

    /** What the planner sets. */
    private static final double RATE_SHARE = 0.9;

    private static final double SAVED_LOADS = 3;

    @DataProvider
    Object[][] rates() {
        return new Object[][] {{1.8}, {2.4}, {7.0}, {8.5}};
    }

    @Test(dataProvider = "rates")
    public void shouldStayBelowTheWeightStoresBoundWhenPlannersSucceedEachOther(double loadsPerSecond) {
        double most = loadsPerSecond * WINDOW_MILLIS / 1_000 * OVERAGE + SPARE_LOADS;
        for (int seed = 1; seed <= SCHEDULES; seed++) {
            Random random = new Random(seed);
            ManualClock clock = new ManualClock(1);
            LoadRateLimiter pacer = planner(clock, loadsPerSecond);
            Deque<Long> begunMillis = new ArrayDeque<>();
            double endsPerStep = random.nextDouble() / 10;
            for (int step = 0; step < STEPS; step++) {
                clock.advanceMillis(STEP_MILLIS);
                if (random.nextDouble() < endsPerStep) {
                    pacer = planner(clock, loadsPerSecond);
                }
                boolean hasDemand = random.nextInt(4) > 0;
                while (hasDemand && pacer.available() > 0) {
                    pacer.consume();
                    begunMillis.addLast(step * STEP_MILLIS);
                }
                while (!begunMillis.isEmpty() && begunMillis.getFirst() <= step * STEP_MILLIS - WINDOW_MILLIS) {
                    begunMillis.removeFirst();
                }
                assertTrue(begunMillis.size() <= most, "seed " + seed + ": " + begunMillis.size() + " loads");
            }
        }
    }

    private static LoadRateLimiter planner(ManualClock clock, double loadsPerSecond) {
        LoadRateLimiter pacer = new LoadRateLimiter(clock);
        pacer.rate(loadsPerSecond * RATE_SHARE, SAVED_LOADS);
        return pacer;
    }
}
