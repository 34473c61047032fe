package org.arbutusstack.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Tests the pauses between calls while keys change all the time. */
public class PollPaceTests {

    private static final long ANSWER_MILLIS = 8;

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private int callsWithin(PollPace pace, long millis) {
        long endNanos = clock.deadlineNanos(millis);
        int calls = 0;
        while (!clock.isPast(endNanos)) {
            calls++;
            clock.advanceMillis(ANSWER_MILLIS + pace.pauseMillis());
        }
        return calls;
    }

    /** Replays large trouble-1, where runners change their entries many times a second: 5 calls a second an entry. */
    @Test
    public void shouldCallOnceAPeriodWhileKeysChangeAllTheTime() {
        int calls = callsWithin(new PollPace(800, clock), 60_000);
        assertTrue(calls >= 70 && calls <= 82, calls + " calls in 60 s");
    }

    @Test
    public void shouldCallQuicklyAfterAStart() {
        assertTrue(callsWithin(new PollPace(800, clock), 500) >= 4);
    }

    @Test
    public void shouldCallQuicklyAgainAfterAQuietTime() {
        PollPace pace = new PollPace(400, clock);
        callsWithin(pace, 10_000);
        clock.advanceMillis(3_000);
        assertEquals(pace.pauseMillis(), 100);
    }
}
