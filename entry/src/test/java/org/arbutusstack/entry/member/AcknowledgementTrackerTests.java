package org.arbutusstack.entry.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests for {@link AcknowledgementTracker}. */
public class AcknowledgementTrackerTests {

    private final AcknowledgementTracker tracker = new AcknowledgementTracker();

    private static RunnerAcknowledgement of(String runner, String incarnation, long sequence) {
        return new RunnerAcknowledgement(runner, incarnation, sequence);
    }

    @Test
    public void shouldCountPresentProcessesOnlyAndKeepFirstTime() {
        tracker.observe(List.of(of("a", "a1", 5), of("b", "", 0)), 100);
        assertEquals(tracker.inForce(5), new InForceStatus(1, 2, List.of("b"), OptionalLong.empty()));
        tracker.observe(List.of(of("a", "a1", 6), of("b", "b1", 5)), 200);
        assertEquals(tracker.inForce(5), new InForceStatus(2, 2, List.of(), OptionalLong.of(200)));
        assertEquals(tracker.inForce(6), new InForceStatus(1, 2, List.of("b"), OptionalLong.empty()));
        tracker.observe(List.of(of("a", "a2", 0), of("b", "b1", 6)), 300);
        assertEquals(tracker.inForce(5), new InForceStatus(1, 2, List.of("a"), OptionalLong.of(200)));
        assertTrue(tracker.isLinked("a"));
        tracker.observe(List.of(of("a", "", 0), of("b", "b1", 6)), 350);
        assertFalse(tracker.isLinked("a"));
        tracker.observe(List.of(of("a", "a2", 6), of("b", "b1", 6)), 400);
        assertEquals(tracker.inForce(5).everywhereByMillis(), OptionalLong.of(200));
        assertEquals(tracker.inForce(6).everywhereByMillis(), OptionalLong.of(400));
    }

    @Test
    public void shouldCountNothingWhenNoRunnerIsListed() {
        tracker.observe(List.of(), 100);
        assertEquals(tracker.inForce(1), new InForceStatus(0, 0, List.of(), OptionalLong.empty()));
    }
}
