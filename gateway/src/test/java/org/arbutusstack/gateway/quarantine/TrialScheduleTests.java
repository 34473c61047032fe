package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Tests when entries send a request of which nothing tells whether it is harmful. */
public class TrialScheduleTests {

    private static final int ENTRIES = 27;

    private static final int REQUESTS = 50;

    private static final long STEP_MILLIS = 10;

    private static final long TRIAL_MILLIS = 300;

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    @Test
    public void shouldSendOneRequestAtATimeWhenManyWait() {
        TrialSchedule schedule = new TrialSchedule("edge-1", () -> 1, clock);
        long lastMillis = -TRIAL_MILLIS;
        int sent = 0;
        for (long millis = 0; millis < 3_000; millis += STEP_MILLIS) {
            if (schedule.tryAcquire("request:a")) {
                assertTrue(millis - lastMillis >= TRIAL_MILLIS, "again after " + (millis - lastMillis) + " ms");
                lastMillis = millis;
                sent++;
            }
            clock.advanceMillis(STEP_MILLIS);
        }
        assertTrue(sent >= 4, "only " + sent + " in 3 s");
    }

    @Test
    public void shouldNotDelayOneRequestForAnother() {
        TrialSchedule schedule = new TrialSchedule("edge-1", () -> 1, clock);
        assertFalse(schedule.tryAcquire("request:a"));
        clock.advanceMillis(TRIAL_MILLIS);
        assertTrue(schedule.tryAcquire("request:a"));
        assertFalse(schedule.tryAcquire("request:b"));
        clock.advanceMillis(TRIAL_MILLIS);
        assertTrue(schedule.tryAcquire("request:b"));
    }

    /** Guards against all entries sending a copy at the moment in which the servers are back. */
    @Test
    public void shouldSpreadTheTrialsOfEntries() {
        List<TrialSchedule> schedules = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            schedules.add(new TrialSchedule("edge-" + entry, () -> ENTRIES, clock));
        }
        int beforeFirstIsDecided = 0;
        for (int request = 0; request < REQUESTS; request++) {
            List<Long> sentMillis = trialsOf("request:" + request, schedules);
            long firstMillis = sentMillis.get(0);
            assertTrue(firstMillis <= ENTRIES * TRIAL_MILLIS / 4, "the first after " + firstMillis + " ms");
            beforeFirstIsDecided += sentMillis.stream()
                    .filter(millis -> millis < firstMillis + TRIAL_MILLIS)
                    .count();
        }
        double mean = (double) beforeFirstIsDecided / REQUESTS;
        assertTrue(mean <= 2.5, mean + " on average before the first is decided");
    }

    private List<Long> trialsOf(String key, List<TrialSchedule> schedules) {
        List<Long> sentMillis = new ArrayList<>();
        for (long millis = 0; millis < ENTRIES * TRIAL_MILLIS; millis += STEP_MILLIS) {
            for (TrialSchedule schedule : schedules) {
                if (schedule.tryAcquire(key)) {
                    sentMillis.add(millis);
                }
            }
            clock.advanceMillis(STEP_MILLIS);
        }
        return sentMillis;
    }
}
