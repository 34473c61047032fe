package org.arbutusstack.gateway.runner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.frame.StatusRequestFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the state of a runner whose side reports, stops responding or terminates. */
public class KnownRunnerTests {

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private KnownRunner runner;

    @BeforeMethod
    public void createRunner() {
        HttpTarget address = new HttpTarget("10.0.0.1", 80);
        runner = new KnownRunner(new RunnerEntry("a", "s", address, "z", 7, 8, false, Map.of("m0", Set.of())), clock);
    }

    private static RunnerStatusFrame status(long startedAtMillis, String... models) {
        List<RunnerStatusFrame.HeldModel> held = new java.util.ArrayList<>();
        for (String model : models) {
            held.add(new RunnerStatusFrame.HeldModel(model, 1, List.of("a1")));
        }
        return new RunnerStatusFrame(
                startedAtMillis, 0, true, -1, 2, 3, 0, 1, held, List.of(), Map.of(), "", false, 1, 200, 0);
    }

    @Test
    public void shouldPreferSideStatusWhenDirectoryDiffers() {
        runner.status(status(7, "m1"), null);
        assertTrue(runner.holds("m1"));
        assertFalse(runner.holds("m0"));
        assertEquals(runner.unstarted(), 2);
    }

    /** Guards against requests that leave for another zone over a link that has become slow. */
    @Test
    public void shouldMeasureDelayWhenStatusIsPendingAndForgetItLater() {
        runner.status(status(7, "m1"), new RecordingLink());
        assertEquals(runner.speed().delayMillis(), 0, 1e-9);
        runner.requestStatus();
        clock.advanceMillis(90);
        assertEquals(runner.speed().delayMillis(), 90, 1e-9, "not yet answered");
        runner.status(status(7, "m1"), new RecordingLink());
        assertEquals(runner.speed().delayMillis(), 90, 1e-9, "answered after 90 ms");
        clock.advanceMillis(20_000);
        assertTrue(runner.speed().delayMillis() < 5, "it is tried again");
    }

    @Test
    public void shouldIgnoreStatusWhenIncarnationDiffers() {
        runner.status(status(6, "m1"), null);
        assertFalse(runner.holds("m1"));
    }

    @Test
    public void shouldAcceptNoWorkWhenHostStopsResponding() {
        runner.status(status(7, "m1"), null);
        clock.advanceMillis(700);
        assertFalse(runner.takesWork());
        runner.recordLiveness();
        assertTrue(runner.takesWork());
    }

    @Test
    public void shouldAcceptWorkWhenOnlyTheSideTerminated() {
        runner.status(status(7, "m1"), null);
        runner.sideClosed();
        clock.advanceMillis(5_000);
        assertTrue(runner.takesWork());
    }

    @Test
    public void shouldAcceptNoWorkUntilNextStatusWhenSideTimedOut() {
        runner.status(status(7, "m1"), null);
        runner.sideTimedOut();
        clock.advanceMillis(5_000);
        assertFalse(runner.takesWork());
        runner.status(status(7, "m1"), null);
        assertTrue(runner.takesWork());
    }

    /**
     * Guards against requests piling up in the buffers of a frozen host: eight were still there when their callers
     * left.
     */
    @Test
    public void shouldNeedLivenessSignalAfterEachRequestWhenSideReports() {
        runner.recordSent(0);
        assertFalse(runner.needsLivenessCheck());
        runner.status(status(7, "m1"), null);
        assertFalse(runner.needsLivenessCheck());
        runner.recordSent(0);
        assertTrue(runner.needsLivenessCheck());
        runner.recordLiveness();
        assertFalse(runner.needsLivenessCheck());
    }

    /**
     * Guards against sending on an outdated status: two hosts froze while four entries sent to each without a liveness
     * check (planner-wakes, seed 33706812780), and six requests stayed in their buffers until their callers had left.
     */
    @Test
    public void shouldRequestStatusBeforeSendingWhenTheLastStatusIsOld() {
        RecordingLink link = new RecordingLink();
        runner.status(status(7, "m1"), link);
        assertFalse(runner.needsLivenessCheck());
        clock.advanceMillis(100);
        assertTrue(runner.needsLivenessCheck());
        runner.requestStatus();
        runner.requestStatus();
        assertEquals(link.sent, List.of(new StatusRequestFrame()));
        runner.status(status(7, "m1"), link);
        assertFalse(runner.needsLivenessCheck());
    }

    @Test
    public void shouldBeOverdueThenAcceptNoWorkWhenSideDoesNotAnswer() {
        RecordingLink link = new RecordingLink();
        runner.status(status(7, "m1"), link);
        clock.advanceMillis(100);
        runner.requestStatus();
        clock.advanceMillis(130);
        assertTrue(runner.isStatusOverdue());
        assertTrue(runner.takesWork());
        clock.advanceMillis(280);
        assertFalse(runner.takesWork());
        runner.recordLiveness();
        assertTrue(runner.takesWork());
        assertFalse(runner.isStatusOverdue());
    }

    @Test
    public void shouldNeedNoLivenessCheckWhenNoSideIsLinked() {
        runner.status(status(7, "m1"), new RecordingLink());
        runner.sideClosed();
        clock.advanceMillis(5_000);
        assertFalse(runner.needsLivenessCheck());
    }
}
