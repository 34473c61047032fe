package org.arbutusstack.gateway.allotment;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link AllotmentShare}. */
public class AllotmentShareTests {

    private ManualClock clock;

    private final AtomicInteger reported = new AtomicInteger();

    private double linked;

    private AllotmentShare share;

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock();
        reported.set(22);
        linked = 1;
        share = new AllotmentShare(reported::get, () -> linked, clock);
    }

    /** Guards against parts that add up to several allotments in a network that is cut in two for long. */
    @Test
    public void shouldNotCountFewerWhileManySidesAreNotLinked() {
        assertEquals(share.entries(), 64);
        clock.advanceMillis(1_000);
        assertEquals(share.entries(), 22);
        linked = 0.5;
        reported.set(11);
        assertEquals(share.entries(), 22);
        clock.advanceMillis(600_000);
        assertEquals(share.entries(), 22);
        linked = 1;
        assertEquals(share.entries(), 22);
        clock.advanceMillis(1_000);
        assertEquals(share.entries(), 11);
    }

    /** Guards against an entry that was cut off for long and uses a part that the others have taken over. */
    @Test
    public void shouldGiveUpMostOfPartWhenCutOffForLong() {
        clock.advanceMillis(1_000);
        assertEquals(share.entries(), 22);
        linked = 0.1;
        reported.set(7);
        clock.advanceMillis(24_000);
        assertEquals(share.entries(), 22);
        clock.advanceMillis(1_000);
        assertEquals(share.entries(), 22 * 8);
        linked = 0.25;
        assertEquals(share.entries(), 22);
    }

    /** Guards against half an allotment that lies unused, since one side counts each entry twice after a cut. */
    @Test
    public void shouldIgnoreFewSidesThatCountTooMany() {
        assertEquals(AllotmentShare.typicalOf(new int[] {22, 44, 22, 22, 21, 22, 22, 22}), 22);
        assertEquals(AllotmentShare.typicalOf(new int[] {3, 22}), 22);
        assertEquals(AllotmentShare.typicalOf(new int[0]), 0);
    }
}
