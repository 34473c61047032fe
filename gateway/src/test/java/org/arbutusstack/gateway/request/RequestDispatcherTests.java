package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the outcome of requests for each kind of attempt failure. */
public class RequestDispatcherTests {

    private static DispatcherHarness plainHarness() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.PLAIN);
        harness.runner("b", DispatcherHarness.PLAIN);
        harness.earnRetries(4);
        return harness;
    }

    @Test
    public void shouldPassAnswerOnWhenAttested() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "done");
        assertEquals(caller.body.toString(), "done");
        assertTrue(caller.ended);
        assertEquals(harness.dispatcher.size(), 0);
    }

    @Test
    public void shouldNotSendAgainWhenUnsafeRequestMayHaveRun() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        int sends = harness.runners.sent.size();
        harness.runners.last().fail(true);
        assertEquals(harness.runners.sent.size(), sends);
        assertEquals(caller.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
    }

    @Test
    public void shouldSendAgainWhenNoByteWasSent() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        String first = harness.runners.last().runner.id();
        harness.runners.last().fail(false);
        assertNotEquals(harness.runners.last().runner.id(), first);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "done");
        assertEquals(caller.body.toString(), "done");
    }

    @Test
    public void shouldReportNotRunOnlyWhenEachRunnerReportedIt() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        while (!caller.isAnswered()) {
            harness.runners.last().answer(503, AnswerKind.NOT_RUN, "");
        }
        assertEquals(caller.refusal.kind(), RefusalKind.NOT_RUN);
    }

    @Test
    public void shouldNotReportNotRunWhenEarlierAttemptMayHaveRun() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.SAFE, false);
        harness.runners.last().fail(true);
        while (!caller.isAnswered()) {
            harness.runners.last().answer(503, AnswerKind.NOT_RUN, "");
        }
        assertEquals(caller.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
    }

    @Test
    public void shouldNotRelayAnswerWhenUnattested() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        FakeRunners.Sent stray = harness.runners.last();
        stray.head(200, AnswerKind.UNATTESTED, false);
        assertTrue(stray.cancelled);
        stray.bytes("other");
        stray.end();
        assertEquals(caller.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
        assertEquals(caller.body.length(), 0);
    }

    @Test
    public void shouldNotUseReplacedIncarnationWhenAnotherAnswers() {
        DispatcherHarness harness = plainHarness();
        harness.send(RouteKind.UNSAFE, false);
        String replaced = harness.runners.last().runner.id();
        harness.runners.last().answer(421, AnswerKind.OTHER_INCARNATION, "");
        assertTrue(harness.runners.closed.contains(replaced));
        for (int index = 0; index < 10; index++) {
            harness.send(RouteKind.UNSAFE, false);
            assertNotEquals(harness.runners.last().runner.id(), replaced);
        }
    }

    @Test
    public void shouldPassFailureOnWhenSafeRequestFailsTwice() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.SAFE, false);
        harness.runners.last().answer(500, AnswerKind.ATTESTED, "first");
        assertFalse(caller.isAnswered());
        harness.runners.last().answer(500, AnswerKind.ATTESTED, "second");
        assertEquals(caller.status, 500);
        assertEquals(caller.body.toString(), "second");
    }

    @Test
    public void shouldReportDeadlinePassedWhenItPassesAfterSending() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.UNSAFE, false);
        harness.clock.advanceMillis(1_001);
        harness.dispatcher.tick();
        assertEquals(caller.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
        assertEquals(caller.refusal.reason(), RefusalReason.DEADLINE_PASSED);
        assertTrue(harness.runners.last().cancelled);
    }

    @DataProvider
    public Object[][] leavers() {
        return new Object[][] {{RouteKind.SAFE, true}, {RouteKind.STREAMING, true}, {RouteKind.UNSAFE, false}};
    }

    @Test(dataProvider = "leavers")
    public void shouldCancelOnlyRequestsThatNeedNotFinishWhenCallerDisconnects(RouteKind kind, boolean cancelled) {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(kind, false);
        caller.disconnect();
        assertEquals(harness.runners.last().cancelled, cancelled);
        assertEquals(harness.dispatcher.size(), 0);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "late");
        assertFalse(caller.isAnswered());
    }

    @Test
    public void shouldPassWholeEventsOnAsTheyCome() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: a\n\nid: 2\nda");
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\n");
        harness.runners.last().bytes("ta: b\n\n");
        harness.runners.last().end();
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(caller.ended);
    }

    @Test
    public void shouldResumeAtLastWholeEventWhenStreamBreaks() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: a\n\nid: 2\nda");
        harness.runners.last().fail(true);
        assertEquals(harness.runners.last().lastEventId, "1");
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 2\ndata: b\n\n");
        harness.runners.last().end();
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(caller.ended);
    }

    /** Guards against bytes of a run that was given up for an endless event entering the stream that is resumed. */
    @Test
    public void shouldNotJoinRunsWhenOneIsGivenUpForItsEndlessEvent() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: a\n\nid: 2\ndata: ");
        FakeRunners.Sent endless = harness.runners.last();
        while (!endless.cancelled) {
            endless.bytes("x".repeat(100_000));
        }
        assertEquals(harness.runners.last().lastEventId, "1");
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 2\ndata: b\n\n");
        harness.runners.last().end();
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(caller.ended);
    }

    /** Guards against the end of a resumed stream not being noticed if it is only marked by that of the connection. */
    @Test(dataProvider = "framings")
    public void shouldCompleteResumedStreamWhenItEnds(boolean framed) {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        harness.runners.last().streamHead(framed);
        harness.runners.last().bytes("id: 1\ndata: a\n\n");
        harness.runners.last().fail(true);
        harness.runners.last().streamHead(framed);
        harness.runners.last().bytes("id: 2\ndata: b\n\n");
        harness.runners.last().end();
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(caller.ended);
    }

    @Test
    public void shouldAbortWhenStreamMayNotBeResumed() {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: a\n\n");
        harness.runners.last().fail(true);
        assertTrue(caller.aborted);
        assertFalse(caller.ended);
    }

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {{true}, {false}};
    }

    /** Guards against a stream that ends within an event looking complete, whether or not its end was marked. */
    @Test(dataProvider = "framings")
    public void shouldNotLookCompleteWhenStreamEndsWithinAnEvent(boolean framed) {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, false);
        harness.runners.last().streamHead(framed);
        harness.runners.last().bytes("id: 1\ndata: a\n\nid: 2\nda");
        harness.runners.last().end();
        assertTrue(caller.aborted);
        assertFalse(caller.ended);
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\n");
    }

    /** Guards against a stream that ends within an event not being resumed where it may be. */
    @Test(dataProvider = "framings")
    public void shouldResumeWhenStreamEndsWithinAnEvent(boolean framed) {
        DispatcherHarness harness = plainHarness();
        FakeCaller caller = harness.send(RouteKind.STREAMING, true);
        harness.runners.last().streamHead(framed);
        harness.runners.last().bytes("id: 1\ndata: a\n\nid: 2\nda");
        harness.runners.last().end();
        assertEquals(harness.runners.last().lastEventId, "1");
        harness.runners.last().streamHead(true);
        harness.runners.last().bytes("id: 2\ndata: b\n\n");
        harness.runners.last().end();
        assertEquals(caller.body.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertTrue(caller.ended);
    }

    @Test
    public void shouldNotRetryWhenNoRetryWasEarned() {
        DispatcherHarness harness = new DispatcherHarness(new RetryLimits(0, 1, 3, 300, 700));
        harness.runner("a", DispatcherHarness.PLAIN);
        harness.runner("b", DispatcherHarness.PLAIN);
        FakeCaller caller = harness.send(RouteKind.SAFE, false);
        harness.runners.last().answer(503, AnswerKind.NOT_RUN, "");
        assertEquals(caller.refusal.kind(), RefusalKind.NOT_RUN);
        assertEquals(harness.runners.sent.size(), 1);
    }

    @Test
    public void shouldRefuseAtOnceWhenLoadEndsAfterCallerTimesOut() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "held");
        FakeCaller caller = harness.send(
                DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "missing");
        assertEquals(caller.refusal.kind(), RefusalKind.NOT_RUN);
        assertTrue(caller.retryAfterMillis > 0);
        assertEquals(
                harness.dispatcher
                        .requestsByModel(DispatcherHarness.ENGINE)
                        .get("missing")
                        .waiting(),
                1);
    }

    @Test
    public void shouldSendToHolderOfTheModel() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        harness.runner("b", DispatcherHarness.ENGINE, "m2");
        FakeCaller caller =
                harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "m2");
        assertEquals(harness.runners.last().runner.id(), "b");
        assertNull(caller.refusal);
    }

    @Test
    public void shouldAnswerEachCallerBeforeTheProcessEnds() {
        DispatcherHarness harness = plainHarness();
        harness.runner("e", DispatcherHarness.ENGINE, "held");
        Route slow = DispatcherHarness.slowRoute();
        FakeCaller waiting = harness.send(slow, "missing");
        FakeCaller sent = harness.send(RouteKind.UNSAFE, false);
        assertFalse(waiting.isAnswered());
        harness.dispatcher.startDraining(harness.clock.deadlineNanos(4_000));
        assertEquals(waiting.refusal.kind(), RefusalKind.NOT_RUN);
        assertFalse(sent.isAnswered());
        harness.dispatcher.endAll();
        assertEquals(sent.refusal.kind(), RefusalKind.OUTCOME_UNKNOWN);
        assertEquals(harness.dispatcher.size(), 0);
    }

    /** Guards against immediate retries of every request when the only holder of a model has crashed. */
    @Test
    public void shouldNotRetryAtOnceWhenTheOnlyHolderIsUnreachable() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "m1");
        for (int index = 0; index < 5; index++) {
            harness.runners.last().fail(false);
            harness.dispatcher.tick();
        }
        assertEquals(harness.runners.sent.size(), 1);
        harness.clock.advanceMillis(600);
        harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "m1");
        assertEquals(harness.runners.sent.size(), 2);
    }

    @Test
    public void shouldSendTheNextRequestOnlyAfterALivenessSignalFromTheHost() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        RunnerStatusFrame status = new RunnerStatusFrame(
                1,
                0,
                true,
                -1,
                0,
                0,
                0,
                1,
                List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of())),
                List.of(),
                Map.of(),
                "",
                false,
                1,
                200,
                0);
        harness.table.byId("a").status(status, null);
        Route route = DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false);
        harness.send(route, "m1");
        FakeCaller second = harness.send(route, "m1");
        assertEquals(harness.runners.sent.size(), 1);
        assertFalse(second.isAnswered());
        harness.dispatcher.tick();
        harness.table.byId("a").status(status, null);
        harness.dispatcher.runnersChanged();
        assertEquals(harness.runners.sent.size(), 2);
    }

    /**
     * Guards against refusing plain requests in a rolling restart in which all entries drain at once and none can take
     * over.
     */
    @Test
    public void shouldAcceptPlainRequestsButNoStreamsWhenDraining() {
        DispatcherHarness harness = plainHarness();
        harness.runner("e", DispatcherHarness.ENGINE, "held");
        harness.dispatcher.startDraining(harness.clock.deadlineNanos(4_000));
        FakeCaller stream =
                harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "held");
        assertEquals(stream.refusal.kind(), RefusalKind.NOT_RUN);
        FakeCaller order = harness.send(RouteKind.UNSAFE, false);
        assertFalse(order.isAnswered());
        harness.clock.advanceMillis(3_100);
        FakeCaller late = harness.send(RouteKind.UNSAFE, false);
        assertEquals(late.refusal.kind(), RefusalKind.NOT_RUN);
    }
}
