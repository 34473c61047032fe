package org.arbutusstack.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.model.request.Priority;
import org.testng.annotations.Test;

/** Tests for {@link RunnerLoad}. */
public class RunnerLoadTests {

    private static final int PER_SECOND = 40;

    private final ManualClock clock = new ManualClock();

    /** Send and complete requests of a priority at a rate for a number of seconds. */
    private void run(RunnerLoad load, Priority priority, int perSecond, int seconds) {
        for (int count = 0; count < perSecond * seconds; count++) {
            load.sent(priority);
            clock.advanceNanos(1_000_000_000L / perSecond);
            load.ended(priority, true);
            load.tick(clock.nowNanos());
        }
    }

    @Test
    public void shouldAdmitWhenNothingWaitsAtTheRunner() {
        RunnerLoad load = new RunnerLoad(clock.nowNanos());
        run(load, Priority.BULK, PER_SECOND, 2);
        for (int count = 0; count < 1_000; count++) {
            load.sent(Priority.BULK);
        }
        assertEquals(load.estimateMillis(Priority.BULK), 0);
    }

    @Test
    public void shouldEstimateFromRequestsAheadWhenTheyWait() {
        RunnerLoad load = new RunnerLoad(clock.nowNanos());
        run(load, Priority.BULK, PER_SECOND, 3);
        load.reported(5, 8);
        for (int count = 0; count < PER_SECOND; count++) {
            load.sent(Priority.BULK);
        }
        long millis = load.estimateMillis(Priority.BULK);
        assertTrue(millis >= 1_000 && millis < 2_000, "estimate " + millis);
    }

    @Test
    public void shouldNotWaitForTheNextReportWhenMoreIsSentThanRuns() {
        RunnerLoad load = new RunnerLoad(clock.nowNanos());
        run(load, Priority.BULK, PER_SECOND, 3);
        load.reported(5, 8);
        load.reported(0, 8);
        assertEquals(load.estimateMillis(Priority.BULK), 0);
        for (int count = 0; count < PER_SECOND; count++) {
            load.sent(Priority.BULK);
        }
        assertTrue(load.estimateMillis(Priority.BULK) >= 1_000);
    }

    @Test
    public void shouldPutInteractiveBeforeBulkWhenBulkWaits() {
        RunnerLoad load = new RunnerLoad(clock.nowNanos());
        run(load, Priority.BULK, PER_SECOND, 3);
        load.reported(5, 8);
        for (int count = 0; count < 10 * PER_SECOND; count++) {
            load.sent(Priority.BULK);
        }
        assertTrue(load.estimateMillis(Priority.BULK) >= 10_000);
        assertTrue(load.estimateMillis(Priority.INTERACTIVE) < 100);
    }

    @Test
    public void shouldLeaveBulkTheRestWhenInteractiveTakesMost() {
        RunnerLoad load = new RunnerLoad(clock.nowNanos());
        run(load, Priority.BULK, PER_SECOND, 3);
        load.reported(5, 8);
        for (int count = 0; count < PER_SECOND; count++) {
            load.sent(Priority.BULK);
        }
        long alone = load.estimateMillis(Priority.BULK);
        for (int count = 0; count < PER_SECOND / 2; count++) {
            load.sent(Priority.INTERACTIVE);
        }
        assertTrue(load.estimateMillis(Priority.BULK) > 2 * alone);
    }
}
