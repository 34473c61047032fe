package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the estimate of how fast a runner reads prompts. */
public class PrefillSpeedTests {

    /** Guards against a budget for slow engines on fast ones, which holds prompts for nothing. */
    @Test
    public void shouldFollowFastEngineWhenLongPromptsBeginSoon() {
        PrefillSpeed speed = new PrefillSpeed();
        for (int sample = 0; sample < 100; sample++) {
            speed.observed(0, 4_000, 25 + 100);
        }
        assertEquals(speed.tokensPerMilli(), 40, 1);
    }

    /** Guards against an estimate that a wait for a slot or a lost second brings down to nothing. */
    @Test
    public void shouldStayWithinBoundsWhenFirstEventIsVeryLate() {
        PrefillSpeed speed = new PrefillSpeed();
        for (int sample = 0; sample < 100; sample++) {
            speed.observed(0, 4_000, 60_000);
        }
        assertTrue(speed.tokensPerMilli() >= 10, "speed " + speed.tokensPerMilli());
    }

    /** Guards against samples of short prompts, whose time is mostly that of a step. */
    @Test
    public void shouldIgnoreShortPrompts() {
        PrefillSpeed speed = new PrefillSpeed();
        speed.observed(0, 100, 200);
        assertEquals(speed.tokensPerMilli(), 20, 0.001);
    }

    /** Guards against prompts that were read before they counted as waiting, which made every engine look fast. */
    @Test
    public void shouldIgnorePromptsBehindOthers() {
        PrefillSpeed speed = new PrefillSpeed();
        for (int sample = 0; sample < 100; sample++) {
            speed.observed(6_000, 2_000, 80);
        }
        assertEquals(speed.tokensPerMilli(), 20, 0.001);
    }
}
