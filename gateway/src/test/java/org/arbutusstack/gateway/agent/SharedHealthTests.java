package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when the outcomes reported by all entries make a runner suspected, and when it recovers. */
public class SharedHealthTests {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private SharedHealth health;

    @BeforeMethod
    public void createHealth() {
        health = new SharedHealth(clock);
    }

    private void fail(int times) {
        for (int index = 0; index < times; index++) {
            health.recordOutcome(true);
        }
    }

    /**
     * Guards against slow detection of a hanging runner (grown scale-1): 33 entries lost a request each on their own.
     */
    @Test
    public void shouldSuspectAfterAFewFailuresOfDifferentEntries() {
        fail(2);
        assertFalse(health.isSuspect());
        fail(1);
        assertTrue(health.isSuspect());
        assertTrue(health.isSuspectForNextRequest());
    }

    @Test
    public void shouldNotSuspectWhenOneInFiveFails() {
        for (int index = 0; index < 200; index++) {
            health.recordOutcome(index % 5 == 0);
        }
        assertFalse(health.isSuspect());
    }

    /** Guards against suspicion by occasional failures: entries report failures, but not the successes in between. */
    @Test
    public void shouldNotSuspectWhenOnlySingleFailuresAreReported() {
        for (int failure = 0; failure < 20; failure++) {
            health.recordOutcome(true);
            clock.advanceMillis(3_000);
        }
        assertFalse(health.isSuspect());
    }

    @Test
    public void shouldLetSingleRequestsProbeAfterTheBackoff() {
        fail(3);
        clock.advanceMillis(600);
        int probes = 0;
        for (int attempt = 0; attempt < 40; attempt++) {
            probes += health.isSuspectForNextRequest() ? 0 : 1;
            clock.advanceMillis(10);
        }
        assertEquals(probes, 2);
    }

    @Test
    public void shouldBackOffLongerEachTimeAProbeFails() {
        fail(3);
        clock.advanceMillis(600);
        fail(1);
        clock.advanceMillis(900);
        assertTrue(health.isSuspect());
        clock.advanceMillis(200);
        assertFalse(health.isSuspect());
    }

    @Test
    public void shouldRecoverAfterThreeSuccessfulProbes() {
        fail(3);
        clock.advanceMillis(600);
        for (int answer = 0; answer < 3; answer++) {
            health.recordOutcome(false);
        }
        assertFalse(health.isSuspectForNextRequest());
        assertFalse(health.isSuspectForNextRequest());
    }
}
