package org.arbutusstack.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Tests the pauses between calls while keys change continuously. */
public class PollRateLimiterTests {

    private static final long RESPONSE_MILLIS = 8;

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private int countCallsWithin(PollRateLimiter limiter, long millis) {
        long endNanos = clock.deadlineNanos(millis);
        int calls = 0;
        while (!clock.isPast(endNanos)) {
            calls++;
            clock.advanceMillis(RESPONSE_MILLIS + limiter.pauseMillis());
        }
        return calls;
    }

    /**
     * Guards against one call per change: in the bench case "large trouble-1", runners changed their entries many times
     * a second, and each entry host made 5 calls a second.
     */
    @Test
    public void shouldCallOncePerPeriodWhileKeysChangeContinuously() {
        int calls = countCallsWithin(new PollRateLimiter(800, clock), 60_000);
        assertTrue(calls >= 70 && calls <= 82, calls + " calls in 60 s");
    }

    @Test
    public void shouldPermitBurstAfterStart() {
        assertTrue(countCallsWithin(new PollRateLimiter(800, clock), 500) >= 4);
    }

    @Test
    public void shouldPermitBurstAgainAfterIdleTime() {
        PollRateLimiter limiter = new PollRateLimiter(400, clock);
        countCallsWithin(limiter, 10_000);
        clock.advanceMillis(3_000);
        assertEquals(limiter.pauseMillis(), 100);
    }
}
