package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a runner is doubted by what all entries tell, and when it is trusted again. */
public class SharedHealthTests {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private SharedHealth health;

    @BeforeMethod
    public void createHealth() {
        health = new SharedHealth(clock);
    }

    private void fail(int times) {
        for (int index = 0; index < times; index++) {
            health.observed(true);
        }
    }

    /** Replays a runner that hangs (grown scale-1): 33 entries lost a request each before each of them knew. */
    @Test
    public void shouldDoubtAfterAFewFailuresOfDifferentEntries() {
        fail(2);
        assertFalse(health.isInDoubt());
        fail(1);
        assertTrue(health.isInDoubt());
        assertTrue(health.isInDoubtForNext());
    }

    @Test
    public void shouldNotDoubtWhenOneInFiveFails() {
        for (int index = 0; index < 200; index++) {
            health.observed(index % 5 == 0);
        }
        assertFalse(health.isInDoubt());
    }

    /** A service whose requests fail at times: entries tell failures, but not the answers in between. */
    @Test
    public void shouldNotDoubtWhenSingleFailuresAreTold() {
        for (int failure = 0; failure < 20; failure++) {
            health.observed(true);
            clock.advanceMillis(3_000);
        }
        assertFalse(health.isInDoubt());
    }

    @Test
    public void shouldLetSingleRequestsTryAfterTheRest() {
        fail(3);
        clock.advanceMillis(600);
        int trials = 0;
        for (int question = 0; question < 40; question++) {
            trials += health.isInDoubtForNext() ? 0 : 1;
            clock.advanceMillis(10);
        }
        assertEquals(trials, 2);
    }

    @Test
    public void shouldRestLongerEachTimeATrialFails() {
        fail(3);
        clock.advanceMillis(600);
        fail(1);
        clock.advanceMillis(900);
        assertTrue(health.isInDoubt());
        clock.advanceMillis(200);
        assertFalse(health.isInDoubt());
    }

    @Test
    public void shouldTrustAfterThreeAnswers() {
        fail(3);
        clock.advanceMillis(600);
        for (int answer = 0; answer < 3; answer++) {
            health.observed(false);
        }
        assertFalse(health.isInDoubtForNext());
        assertFalse(health.isInDoubtForNext());
    }
}
