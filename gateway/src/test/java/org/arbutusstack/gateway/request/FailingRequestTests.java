package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.quarantine.LivenessProbe;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a request which cannot be handled ends alone: the duties of the dispatcher go on for all others. */
public class FailingRequestTests {

    /** More than the timeout of the requests. */
    private static final long PAST_DEADLINE_MILLIS = 1_001;

    private DispatcherHarness harness;

    private RunnerEntry runner;

    @BeforeMethod
    public void start() {
        harness = new DispatcherHarness();
        runner = harness.runner("a", DispatcherHarness.PLAIN);
    }

    private FakeCaller sendUnsafe() {
        return harness.send(RouteKind.UNSAFE, false);
    }

    private void passDeadline() {
        harness.clock.advanceMillis(PAST_DEADLINE_MILLIS);
        harness.dispatcher.tick();
    }

    /** Guards against one answer that cannot be written keeping the deadlines of all other requests from being seen. */
    @Test
    public void shouldExpireOtherRequestsWhenAnswerCannotBeWritten() {
        FakeCaller unwritable = sendUnsafe();
        unwritable.isUnwritable = true;
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "done");
        FakeCaller behind = sendUnsafe();
        passDeadline();
        assertTrue(unwritable.aborted);
        assertEquals(behind.refusal.reason(), RefusalReason.DEADLINE_PASSED);
        assertEquals(harness.dispatcher.size(), 0);
    }

    /** The same for an answer that is kept until the deadline, as that of a runner that failed the request is. */
    @Test
    public void shouldExpireOtherRequestsWhenKeptAnswerCannotBeWritten() {
        FakeCaller unwritable = harness.send(RouteKind.SAFE, false);
        unwritable.isUnwritable = true;
        harness.runners.last().answer(500, AnswerKind.ATTESTED, "failed");
        FakeCaller behind = sendUnsafe();
        passDeadline();
        passDeadline();
        assertTrue(unwritable.aborted);
        assertEquals(behind.refusal.reason(), RefusalReason.DEADLINE_PASSED);
        assertEquals(harness.dispatcher.size(), 0);
    }

    @Test
    public void shouldExpireOtherRequestsWhenRefusalCannotBeWritten() {
        FakeCaller unwritable = sendUnsafe();
        FakeCaller behind = sendUnsafe();
        unwritable.isUnwritable = true;
        passDeadline();
        assertTrue(unwritable.aborted);
        assertEquals(behind.refusal.reason(), RefusalReason.DEADLINE_PASSED);
        assertEquals(harness.dispatcher.size(), 0);
    }

    /** Guards against an answer that cannot be written being followed by another answer on the same connection. */
    @Test
    public void shouldNotAnswerAgainWhenAnswerCouldNotBeWritten() {
        FakeCaller unwritable = sendUnsafe();
        unwritable.isUnwritable = true;
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "done");
        unwritable.isUnwritable = false;
        passDeadline();
        assertTrue(unwritable.aborted);
        assertNull(unwritable.refusal);
        assertFalse(unwritable.ended);
    }

    private static RunnerStatusFrame engineStatus(int queued) {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of()));
        return new RunnerStatusFrame(1, 0, true, -1, queued, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, 0);
    }

    /** Guards against requests that wait behind one that cannot be sent waiting until their deadline. */
    @Test
    public void shouldSendOtherRequestsWhenOneCannotBeSent() {
        Route route = DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false);
        RecordingLink link = new RecordingLink();
        harness.runner("e", DispatcherHarness.ENGINE, "m1");
        harness.table.byId("e").status(engineStatus(40), link);
        harness.clock.advanceMillis(200);
        FakeCaller unsendable = harness.send(route, "m1");
        FakeCaller behind = harness.send(route, "m1");
        harness.runners.unsendableId = "q1";
        assertFalse(unsendable.isAnswered() || behind.isAnswered(), "they wait for a status");
        for (int round = 0; round < 2; round++) {
            harness.table.byId("e").status(engineStatus(0), link);
            harness.dispatcher.runnerChanged(harness.table.byId("e"));
        }
        assertEquals(unsendable.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
        assertEquals(harness.runners.last().request.id(), "q2");
    }

    /** Guards against a request that may have been sent being reported as not run. */
    @Test
    public void shouldReportOutcomeUnknownWhenHandlingOfRequestFails() {
        harness.runners.unsendableId = "q1";
        FakeCaller caller = sendUnsafe();
        assertEquals(caller.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
        assertEquals(caller.refusal.reason(), RefusalReason.INTERNAL);
        assertEquals(harness.dispatcher.size(), 0);
    }

    /** Guards against callers that get no answer when the process ends, since that of another failed. */
    @Test
    public void shouldRefuseOtherRequestsWhenProcessEnds() {
        FakeCaller unwritable = sendUnsafe();
        FakeCaller behind = sendUnsafe();
        unwritable.isUnwritable = true;
        harness.dispatcher.endAll();
        assertTrue(unwritable.aborted);
        assertEquals(behind.refusal.reason(), RefusalReason.LEAVING);
    }

    /** Guards against crashes of servers that are not noticed, since the probe of another server failed. */
    @Test
    public void shouldProbeOtherServersWhenOneProbeFails() {
        RunnerEntry other = harness.runner("b", DispatcherHarness.PLAIN);
        harness.crashMonitor.lost(runner, 10, List.of("key-a"));
        harness.crashMonitor.lost(other, 10, List.of("key-b"));
        harness.probe.answer(LivenessProbe.Result.NO_ANSWER);
        harness.probe.probed.clear();
        harness.probe.failingId = runner.id();
        harness.clock.advanceMillis(500);
        harness.crashMonitor.tick();
        assertEquals(harness.probe.probed, List.of("a", "b"));
    }
}
