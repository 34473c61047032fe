package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which losses of requests count as crashes of their runner. */
public class RunnerCrashesTests {

    private ManualClock clock;

    private RunnerCrashes crashes;

    @BeforeMethod
    public void start() {
        clock = new ManualClock(1_000_000_000L);
        crashes = new RunnerCrashes("10.0.0.1", clock);
    }

    private void lose(long startedAtMillis, String... keys) {
        clock.advanceMillis(1);
        assertTrue(crashes.lost(new LostRequestFrame(startedAtMillis, 100, List.of(keys)))
                .isEmpty());
    }

    private List<StrikeFrame> answer(long startedAtMillis) {
        clock.advanceMillis(10);
        return crashes.pollAnswered(startedAtMillis, clock.nowNanos());
    }

    @Test
    public void shouldStrikeWhenAnotherIncarnationAnswers() {
        lose(7, "part:a", "part:b");
        lose(7, "part:a");
        List<StrikeFrame> frames = answer(9);
        assertEquals(frames.size(), 2);
        assertEquals(frames.get(0).incident(), frames.get(1).incident());
        assertTrue(frames.get(0).struckAgoMillis() < frames.get(0).sentAgoMillis());
        assertEquals(crashes.remembered().size(), 2);
    }

    /** Guards against runners that break connections but do not crash making their requests look harmful. */
    @Test
    public void shouldDismissLossesWhenSameIncarnationAnswersAfterThem() {
        lose(7, "part:a");
        assertTrue(crashes.pollAnswered(7, clock.nowNanos() - 1).isEmpty());
        assertTrue(crashes.hasUnexplainedLoss());
        assertTrue(answer(7).isEmpty());
        assertFalse(crashes.hasUnexplainedLoss());
        assertTrue(answer(9).isEmpty());
    }

    /** Guards against a runner that cannot answer properly being taken for one that crashed. */
    @Test
    public void shouldNotStrikeWhenPollsAreAnsweredButCannotBeRead() {
        lose(7, "part:a");
        assertTrue(crashes.pollFailed().isEmpty());
        crashes.pollUnreadable();
        assertTrue(crashes.pollFailed().isEmpty());
        crashes.pollUnreadable();
        crashes.pollUnreadable();
        assertTrue(crashes.hasUnexplainedLoss());
        assertTrue(crashes.remembered().isEmpty());
    }

    @Test
    public void shouldStrikeWhenTwoPollsFailAndRetractWhenSameIncarnationAnswersAfterAll() {
        lose(7, "part:a");
        assertTrue(crashes.pollFailed().isEmpty());
        assertEquals(crashes.pollFailed().size(), 1);
        assertTrue(crashes.pollFailed().isEmpty());
        List<StrikeFrame> retracted = answer(7);
        assertEquals(retracted.size(), 1);
        assertFalse(retracted.get(0).valid());
        assertTrue(crashes.remembered().isEmpty());
    }

    /** Guards against forgetting losses that are reported after the runner is back, also if clocks were set back. */
    @Test
    public void shouldStrikeWhenLossIsReportedAfterRestart() {
        answer(7);
        answer(5);
        List<StrikeFrame> late = crashes.lost(new LostRequestFrame(7, 150, List.of("part:a")));
        assertEquals(late.size(), 1);
        assertTrue(crashes.lost(new LostRequestFrame(5, 10, List.of("part:b"))).isEmpty());
        assertEquals(answer(9).size(), 1);
    }

    @Test
    public void shouldNotStrikeWhenRunnerRestartsWithoutLoss() {
        assertTrue(crashes.pollFailed().isEmpty());
        assertTrue(crashes.pollFailed().isEmpty());
        assertTrue(answer(9).isEmpty());
    }

    @Test
    public void shouldStrikeAtOnceWhenLossOfKnownCrashIsReportedLate() {
        lose(7, "part:a");
        answer(9);
        List<StrikeFrame> late = crashes.lost(new LostRequestFrame(7, 150, List.of("part:b", "part:a")));
        assertEquals(late.size(), 1);
        assertEquals(late.get(0).key(), "part:b");
        assertTrue(crashes.lost(new LostRequestFrame(5, 150, List.of("part:c"))).isEmpty());
    }

    @Test
    public void shouldForgetStrikesWhenContentWasAnswered() {
        lose(7, "part:a");
        answer(9);
        assertTrue(crashes.clear("part:a"));
        assertFalse(crashes.clear("part:a"));
        assertTrue(crashes.remembered().isEmpty());
    }
}
