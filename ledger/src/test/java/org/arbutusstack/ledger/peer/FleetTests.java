package org.arbutusstack.ledger.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.HdrHistogram.Histogram;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.AcceptResult;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the ledger of a large fleet in one process and in virtual time, and measures calls on the key-value service and
 * the time until tickets are in force.
 */
public class FleetTests {

    private static final int SIDES = Integer.getInteger("fleet.sides", 1_200);

    private static final int ENTRIES_PER_ZONE = Integer.getInteger("fleet.entries-per-zone", 3);

    private static final int ZONES = 20;

    private static final int REGIONS = 7;

    private static final int TICKETS = 100;

    private static final long MAX_IN_FORCE_MILLIS = 4_000;

    private static final long HEARTBEAT_MILLIS = 5_000;

    private static final double MAX_READS_PER_SECOND = 2_000;

    private static final double MAX_WRITES_PER_SECOND = 300;

    private final Histogram millis = new Histogram(3);

    private final long[] acceptedAtNanos = new long[TICKETS + 2];

    private FakeProcesses build() {
        FakeProcesses fleet = new FakeProcesses(HEARTBEAT_MILLIS);
        for (int zone = 0; zone < ZONES; zone++) {
            for (int count = 0; count < ENTRIES_PER_ZONE; count++) {
                fleet.addEntry("region-" + zone % REGIONS, "zone-" + zone);
            }
        }
        for (int side = 0; side < SIDES; side++) {
            FakeProcesses.Side added = fleet.addSide("region-" + side % ZONES % REGIONS, "zone-" + side % ZONES);
            added.replica.addListener(state -> record(fleet, state.sequence()));
        }
        fleet.publish();
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        return fleet;
    }

    private void record(FakeProcesses fleet, long sequence) {
        long tookNanos = fleet.clock.nowNanos() - acceptedAtNanos[(int) sequence];
        millis.recordValue(tookNanos / Clock.NANOS_PER_MILLI);
    }

    @DataProvider
    public Object[][] services() {
        return new Object[][] {{"up", 2L, false}, {"slow", 2_000L, false}, {"down after each acceptance", 2L, true}};
    }

    @Test(dataProvider = "services")
    public void shouldBeInForceInTimeAndSpareServiceWhenFleetIsLarge(String name, long watchMillis, boolean down) {
        millis.reset();
        FakeProcesses fleet = build();
        fleet.watchDelayMillis = watchMillis;
        assertEquals(fleet.countRelays(), 2 * ZONES);
        long reads = fleet.store.readCount();
        long writes = fleet.store.writeCount();
        for (int number = 1; number <= TICKETS; number++) {
            fleet.store.setDown(false);
            FakeProcesses.Entry acceptor = fleet.entries.get(number * 7 % fleet.entries.size());
            acceptedAtNanos[number] = fleet.clock.nowNanos();
            AcceptResult result = DisseminationTests.submit(acceptor, fleet, number);
            assertTrue(result instanceof AcceptResult.Accepted, result.toString());
            fleet.store.setDown(down);
            fleet.network.run(1_000);
        }
        long readsDone = fleet.store.readCount() - reads;
        long writesDone = fleet.store.writeCount() - writes;
        fleet.network.run(MAX_IN_FORCE_MILLIS);
        Reporter.log(
                String.format(
                        "fleet: service %s, entries %d, sides %d, in force ms p50 %d p99 %d max %d, reads %d, writes %d"
                                + ", watches %d, frames %d",
                        name,
                        fleet.entries.size(),
                        SIDES,
                        millis.getValueAtPercentile(50),
                        millis.getValueAtPercentile(99),
                        millis.getMaxValue(),
                        readsDone,
                        writesDone,
                        fleet.store.watchCount(),
                        fleet.network.frames()),
                true);
        assertEquals(fleet.countSidesAt(TICKETS), SIDES);
        assertTrue(millis.getMaxValue() <= MAX_IN_FORCE_MILLIS, "in force after " + millis.getMaxValue() + " ms");
        assertTrue(readsDone < MAX_READS_PER_SECOND * TICKETS);
        assertTrue(writesDone < MAX_WRITES_PER_SECOND * TICKETS);
    }
}
