package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which statuses are told to whom, and what they add up to at 33 and 360 entries. */
public class StatusScheduleTests {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private StatusSchedule schedule;

    @BeforeMethod
    public void createSchedule() {
        schedule = new StatusSchedule(clock);
    }

    private static RunnerStatusFrame status(int running, boolean takesWork, String loading, String... adapters) {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m", 1, List.of(adapters)));
        return new RunnerStatusFrame(
                1,
                0,
                takesWork,
                -1,
                0,
                running,
                0,
                1,
                held,
                List.of(),
                Map.of(),
                loading,
                false,
                5,
                StatusSchedule.statusIntervalMillis(5),
                0);
    }

    @Test
    public void shouldTellAllAtOnceWhatConcernsAll() {
        assertEquals(schedule.decide(status(0, true, "")), StatusSchedule.Audience.ALL);
        assertEquals(schedule.decide(status(0, true, "m2")), StatusSchedule.Audience.ALL);
        assertEquals(schedule.decide(status(0, false, "m2")), StatusSchedule.Audience.ALL);
    }

    @Test
    public void shouldTellAdaptersOnlyToThoseWhoWaitForThem() {
        schedule.decide(status(0, true, ""));
        assertEquals(schedule.decide(status(0, true, "", "a1")), StatusSchedule.Audience.ADAPTER_USERS);
        assertEquals(schedule.decide(status(1, true, "", "a1")), StatusSchedule.Audience.NOBODY);
    }

    /** Replays a runner whose load changes at each reading: a side told all entries eight times a second. */
    @Test
    public void shouldTellLoadTwiceASecond() {
        int told = 0;
        for (int reading = 0; reading < 100; reading++) {
            told += schedule.decide(status(reading, true, "")) == StatusSchedule.Audience.ALL ? 1 : 0;
            clock.advanceMillis(100);
        }
        assertTrue(told >= 17 && told <= 21, told + " in ten seconds");
    }

    @Test
    public void shouldBoundTheStatusesOfASideHoweverManyEntriesThereAre() {
        for (int entries : new int[] {1, 33, 360, 2_000}) {
            assertTrue(entries * 1_000L / StatusSchedule.statusIntervalMillis(entries) <= 66, entries + " entries");
        }
    }
}
