package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which entries receive a status, and the total rate for up to 2,000 entries. */
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
    public void shouldSendToAllAtOnceWhenModelsOrWorkChange() {
        assertEquals(schedule.selectAudience(status(0, true, "")), StatusSchedule.Audience.ALL);
        assertEquals(schedule.selectAudience(status(0, true, "m2")), StatusSchedule.Audience.ALL);
        assertEquals(schedule.selectAudience(status(0, false, "m2")), StatusSchedule.Audience.ALL);
    }

    @Test
    public void shouldSendAdapterChangesOnlyToAdapterUsers() {
        schedule.selectAudience(status(0, true, ""));
        assertEquals(schedule.selectAudience(status(0, true, "", "a1")), StatusSchedule.Audience.ADAPTER_USERS);
        assertEquals(schedule.selectAudience(status(1, true, "", "a1")), StatusSchedule.Audience.NOBODY);
    }

    /** Guards against a status to all entries at each change of load, which was sent eight times a second. */
    @Test
    public void shouldSendTwiceASecondWhenOnlyLoadChanges() {
        int sent = 0;
        for (int reading = 0; reading < 100; reading++) {
            sent += schedule.selectAudience(status(reading, true, "")) == StatusSchedule.Audience.ALL ? 1 : 0;
            clock.advanceMillis(100);
        }
        assertTrue(sent >= 17 && sent <= 21, sent + " in ten seconds");
    }

    @Test
    public void shouldBoundStatusRateWhenManyEntriesAreLinked() {
        for (int entries : new int[] {1, 33, 360, 2_000}) {
            assertTrue(entries * 1_000L / StatusSchedule.statusIntervalMillis(entries) <= 66, entries + " entries");
        }
    }
}
