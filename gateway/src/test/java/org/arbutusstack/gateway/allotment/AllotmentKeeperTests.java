package org.arbutusstack.gateway.allotment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.AllotmentGrantFrame;
import org.arbutusstack.wire.frame.AllotmentRequestFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link AllotmentKeeper} with two entries of an allotment of 1,000 units a second and a burst of 1,000. */
public class AllotmentKeeperTests {

    private static final double RATE = 1_000;

    private HostClock clock;

    private AllotmentKeeper keeper;

    @BeforeMethod
    public void setUp() {
        clock = new HostClock();
        keeper = new AllotmentKeeper(7, clock);
    }

    private AllotmentGrantFrame ask(String entry, AllotmentGrantFrame echo, double share, double wanted) {
        return keeper.request(new AllotmentRequestFrame(
                        "raven",
                        entry,
                        1,
                        echo == null ? 0 : echo.keeperId(),
                        echo == null ? 0 : echo.keeperNanos(),
                        1,
                        RATE,
                        RATE,
                        share,
                        wanted,
                        wanted / 2,
                        1_000))
                .grant()
                .orElseThrow();
    }

    /** Lets an entry renew its loan for a while. */
    private AllotmentGrantFrame lend(String entry, double share, long millis) {
        AllotmentGrantFrame echo = ask(entry, null, share, 0);
        for (long passed = 0; passed < millis; passed += 100) {
            echo = ask(entry, echo, share, 0);
            clock.pass(100, 100);
        }
        return echo;
    }

    /** Guards against a burst that a suspended keeper grants although its lenders have long lent elsewhere. */
    @Test
    public void shouldGrantNothingAfterSuspension() {
        lend("edge-1", 0.5, 1_000);
        assertTrue(ask("edge-1", null, 0.5, 100).tokens() >= 100);
        clock.pass(0, 5_000);
        assertEquals(ask("edge-1", null, 0.5, 100).tokens(), 0.0);
    }

    /** Guards against a share that is lent to two keepers, since a request arrived late or after a restart. */
    @Test
    public void shouldLendNothingWhenEchoIsOldOrOfAnotherProcess() {
        AllotmentGrantFrame old = ask("edge-1", null, 0.5, 0);
        clock.pass(1_000, 1_000);
        ask("edge-1", old, 0.5, 0);
        AllotmentGrantFrame current = ask("edge-1", null, 0.5, 0);
        ask("edge-1", new AllotmentGrantFrame("raven", 1, 8, current.keeperNanos(), 0, 0, 0), 0.5, 0);
        clock.pass(300, 300);
        assertEquals(ask("edge-1", null, 0.5, 100).tokens(), 0.0);
    }

    /** Guards against entries that count too few of them and together get more than the allotment. */
    @Test
    public void shouldFillAtWholeRateAtMost() {
        AllotmentGrantFrame first = ask("edge-1", null, 1, 0);
        ask("edge-1", first, 1, 0);
        ask("edge-2", first, 1, 0);
        clock.pass(500, 500);
        assertEquals(ask("edge-1", null, 1, 500).tokens(), 500.0, 1);
        assertEquals(ask("edge-2", null, 1, 500).tokens(), 0.0);
    }

    /** Guards against an entry that asks often and leaves nothing for one that asked before it. */
    @Test
    public void shouldKeepBlockForEntryThatAskedFirst() {
        AllotmentGrantFrame echo = lend("edge-1", 1, 200);
        ask("edge-1", echo, 1, 200);
        AllotmentGrantFrame told = ask("edge-2", null, 1, 200);
        assertEquals(told.tokens(), 0.0);
        clock.pass(told.waitMillis(), told.waitMillis());
        assertEquals(ask("edge-1", echo, 1, 200).tokens(), 0.0);
        assertTrue(ask("edge-2", null, 1, 200).tokens() >= 100);
    }

    /** Clock of a host that can be suspended. */
    private static final class HostClock implements Clock {

        private long nanos;

        private long wallMillis;

        private void pass(long millis, long wall) {
            nanos += millis * NANOS_PER_MILLI;
            wallMillis += wall;
        }

        @Override
        public long nowNanos() {
            return nanos;
        }

        @Override
        public long wallMillis() {
            return wallMillis;
        }
    }
}
