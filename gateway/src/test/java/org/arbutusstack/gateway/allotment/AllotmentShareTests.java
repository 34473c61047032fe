package org.arbutusstack.gateway.allotment;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Tests {@link AllotmentShare}. */
public class AllotmentShareTests {

    private final ManualClock clock = new ManualClock();

    private final AtomicInteger reported = new AtomicInteger(22);

    private final AtomicBoolean linked = new AtomicBoolean(true);

    private final AllotmentShare share = new AllotmentShare(reported::get, linked::get, clock);

    /** Guards against parts that add up to several allotments in a network that is cut in two for long. */
    @Test
    public void shouldNotCountFewerWhileManySidesAreNotLinked() {
        assertEquals(share.entries(), 64);
        clock.advanceMillis(1_000);
        assertEquals(share.entries(), 22);
        linked.set(false);
        reported.set(11);
        assertEquals(share.entries(), 22);
        clock.advanceMillis(600_000);
        assertEquals(share.entries(), 22);
        linked.set(true);
        assertEquals(share.entries(), 22);
        clock.advanceMillis(1_000);
        assertEquals(share.entries(), 11);
    }

    /** Guards against half an allotment that lies unused, since one side counts each entry twice after a cut. */
    @Test
    public void shouldIgnoreFewSidesThatCountTooMany() {
        assertEquals(AllotmentShare.typicalOf(new int[] {22, 44, 22, 22, 21, 22, 22, 22}), 22);
        assertEquals(AllotmentShare.typicalOf(new int[] {3, 22}), 22);
        assertEquals(AllotmentShare.typicalOf(new int[0]), 0);
    }
}
