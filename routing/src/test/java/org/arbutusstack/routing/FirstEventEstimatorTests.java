package org.arbutusstack.routing;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests for {@link FirstEventEstimator} with a simulated engine that processes prompts sequentially. */
public class FirstEventEstimatorTests {

    private static final int ARRIVALS = 400;

    private static final double GAP_MILLIS = 50;

    private static final double PROMPT_MILLIS = 90;

    private static final long TARGET_MILLIS = 500;

    private static final int SLOTS = 24;

    /**
     * Covers nearly twice the load that an engine can process: only with admission control do requests meet their
     * target.
     */
    @Test
    public void shouldKeepServedRequestsInTimeWhenTwiceTheCapacityArrives() {
        int withoutAdmission = inTime(false);
        int withAdmission = inTime(true);
        double capacity = ARRIVALS * GAP_MILLIS / PROMPT_MILLIS;
        assertTrue(withoutAdmission < capacity * 0.1, "in time without admission: " + withoutAdmission);
        assertTrue(withAdmission > capacity * 0.85, "in time with admission: " + withAdmission + " of " + capacity);
    }

    private static int inTime(boolean admits) {
        FirstEventEstimator estimate = new FirstEventEstimator();
        double freeAtMillis = 0;
        int inTime = 0;
        for (int index = 0; index < ARRIVALS; index++) {
            double nowMillis = index * GAP_MILLIS;
            int ahead = (int) Math.ceil(Math.max(0, freeAtMillis - nowMillis) / PROMPT_MILLIS);
            if (admits && estimate.millis(ahead, 0, SLOTS) > TARGET_MILLIS) {
                continue;
            }
            freeAtMillis = Math.max(freeAtMillis, nowMillis) + PROMPT_MILLIS;
            long tookMillis = Math.round(freeAtMillis - nowMillis);
            estimate.observed(ahead, tookMillis);
            inTime += tookMillis <= TARGET_MILLIS ? 1 : 0;
        }
        return inTime;
    }

    @Test
    public void shouldExpectLongerWaitWhenAllSlotsAreTaken() {
        FirstEventEstimator estimate = new FirstEventEstimator();
        assertTrue(estimate.millis(0, SLOTS, SLOTS) > estimate.millis(0, 0, SLOTS));
    }

    /**
     * Covers scenario further scale-1 at 5 s: 24 streams of 1.6 s run, so that one ends every 67 ms, and three requests
     * wait.
     */
    @Test
    public void shouldAccountForEachStreamThatEndsWhenSlotsAreTaken() {
        FirstEventEstimator estimate = new FirstEventEstimator();
        for (int stream = 0; stream < 100; stream++) {
            estimate.ended(1_600);
            estimate.observed(0, 50);
        }
        long millis = estimate.millis(3, SLOTS, SLOTS);
        assertTrue(millis >= 4 * 1_600 / SLOTS, millis + " ms");
        assertTrue(millis <= TARGET_MILLIS, millis + " ms");
        assertTrue(estimate.millis(12, SLOTS, SLOTS) > TARGET_MILLIS);
    }
}
