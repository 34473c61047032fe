package org.arbutusstack.kernel.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Tests {@link LogThrottle}. */
public class LogThrottleTests {

    @Test
    public void shouldCountWhatItSuppressesWhenRecordsFlood() {
        ManualClock clock = new ManualClock();
        LogThrottle throttle = new LogThrottle(clock, 2);
        assertTrue(throttle.tryAcquire());
        assertTrue(throttle.tryAcquire());
        assertFalse(throttle.tryAcquire());
        assertFalse(throttle.tryAcquire());
        clock.advanceMillis(1_000);
        assertTrue(throttle.tryAcquire());
        assertEquals(throttle.takeSuppressed(), 2);
        assertEquals(throttle.takeSuppressed(), 0);
    }
}
