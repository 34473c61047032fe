package org.arbutusstack.ledger.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.HdrHistogram.Histogram;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.AcceptResult;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the ledger code of a large fleet in one process and in virtual time, and counts calls and times. */
public class FleetTests {

    private static final int SIDES = Integer.getInteger("fleet.sides", 1_200);

    private static final int ENTRIES_PER_ZONE = Integer.getInteger("fleet.entries-per-zone", 3);

    private static final int ZONES = 20;

    private static final int REGIONS = 7;

    private static final int TICKETS = 100;

    private static final long IN_FORCE_MILLIS = 4_000;

    private static final long HEARTBEAT_MILLIS = 5_000;

    private static final double READS_PER_SECOND = 2_000;

    private static final double WRITES_PER_SECOND = 300;

    private final Histogram millis = new Histogram(3);

    private final long[] acceptedAtNanos = new long[TICKETS + 2];

    private FakeProcesses build() {
        FakeProcesses all = new FakeProcesses(HEARTBEAT_MILLIS);
        for (int zone = 0; zone < ZONES; zone++) {
            for (int count = 0; count < ENTRIES_PER_ZONE; count++) {
                all.addEntry("region-" + zone % REGIONS, "zone-" + zone);
            }
        }
        for (int side = 0; side < SIDES; side++) {
            FakeProcesses.Side added = all.addSide("region-" + side % ZONES % REGIONS, "zone-" + side % ZONES);
            added.replica.addListener(state -> record(all, state.sequence()));
        }
        all.publish();
        all.network.run(IN_FORCE_MILLIS);
        return all;
    }

    private void record(FakeProcesses all, long sequence) {
        long tookNanos = all.clock.nowNanos() - acceptedAtNanos[(int) sequence];
        millis.recordValue(tookNanos / Clock.NANOS_PER_MILLI);
    }

    @DataProvider
    public Object[][] services() {
        return new Object[][] {{"up", 2L, false}, {"slow", 2_000L, false}, {"down after each acceptance", 2L, true}};
    }

    @Test(dataProvider = "services")
    public void shouldBeInForceInTimeAndSpareServiceWhenFleetIsLarge(String name, long watchMillis, boolean down) {
        millis.reset();
        FakeProcesses all = build();
        all.watchDelayMillis = watchMillis;
        assertEquals(all.relays(), 2 * ZONES);
        long reads = all.store.readCount();
        long writes = all.store.writeCount();
        for (int number = 1; number <= TICKETS; number++) {
            all.store.down(false);
            FakeProcesses.Entry acceptor = all.entries.get(number * 7 % all.entries.size());
            acceptedAtNanos[number] = all.clock.nowNanos();
            AcceptResult result = DisseminationTests.submit(acceptor, all, number);
            assertTrue(result instanceof AcceptResult.Accepted, result.toString());
            all.store.down(down);
            all.network.run(1_000);
        }
        long readsDone = all.store.readCount() - reads;
        long writesDone = all.store.writeCount() - writes;
        all.network.run(IN_FORCE_MILLIS);
        Reporter.log(
                String.format(
                        "fleet: service %s, entries %d, sides %d, in force ms p50 %d p99 %d max %d, reads %d, writes %d"
                                + ", watches %d, frames %d",
                        name,
                        all.entries.size(),
                        SIDES,
                        millis.getValueAtPercentile(50),
                        millis.getValueAtPercentile(99),
                        millis.getMaxValue(),
                        readsDone,
                        writesDone,
                        all.store.watchCount(),
                        all.network.frames()),
                true);
        assertEquals(all.sidesIn(TICKETS), SIDES);
        assertTrue(millis.getMaxValue() <= IN_FORCE_MILLIS, "in force after " + millis.getMaxValue() + " ms");
        assertTrue(readsDone < READS_PER_SECOND * TICKETS);
        assertTrue(writesDone < WRITES_PER_SECOND * TICKETS);
    }
}
