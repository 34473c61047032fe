package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.quarantine.LivenessProbe;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.ContentKeys;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an entry reports of lost requests, and how it refuses those that would crash runners. */
public class QuarantinedRequestTests {

    private DispatcherHarness harness;

    private RecordingLink link;

    @BeforeMethod
    public void start() {
        harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        link = new RecordingLink();
        harness.table.byId("a").status(status(), link);
    }

    private static RunnerStatusFrame status() {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of()));
        return new RunnerStatusFrame(1, 0, true, -1, 0, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, 0);
    }

    private FakeCaller send(String... parts) {
        harness.table.byId("a").status(status(), link);
        harness.sharedParts = List.of(parts);
        return harness.send(DispatcherHarness.slowRoute(), "m1");
    }

    private List<LostRequestFrame> reports() {
        return link.sent.stream()
                .filter(LostRequestFrame.class::isInstance)
                .map(LostRequestFrame.class::cast)
                .toList();
    }

    @Test
    public void shouldReportNothingButTheAnswerWhenItHadBegun() {
        send("first", "middle");
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().fail(true);
        assertEquals(reports().size(), 1);
        assertTrue(reports().get(0).keys().containsAll(List.of("part:first", "part:middle")));
        send("first", "middle");
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: x\n\n");
        harness.runners.last().fail(true);
        assertEquals(reports().size(), 2);
        assertEquals(reports().get(1).keys().size(), 1, "the parts did not crash it");
        assertTrue(reports().get(0).keys().containsAll(reports().get(1).keys()), "the answer, begun or not");
        send("first");
        harness.runners.last().fail(false);
        assertEquals(reports().size(), 2);
    }

    @Test
    public void shouldRefuseAtOnceWithoutRunningWhenContentIsHeldToCrashRunners() {
        strike(3, "part:bad");
        int sends = harness.runners.sent.size();
        FakeCaller caller = send("first", "bad");
        assertEquals(harness.runners.sent.size(), sends);
        assertEquals(caller.refusal.kind(), RefusalKind.NOT_RUN);
        assertEquals(caller.refusal.reason(), RefusalReason.QUARANTINED);
        assertTrue(caller.retryAfterMillis > 0);
        assertTrue(caller.refusal.detail().contains("part:bad"), caller.refusal.detail());
        assertFalse(send("first").isAnswered());
        assertEquals(harness.runners.sent.size(), sends + 1);
    }

    @Test
    public void shouldServeAgainWhenAnswerBegins() {
        FakeCaller sentBefore = send("bad");
        strike(3, "part:bad");
        assertTrue(send("bad").isAnswered());
        harness.runners.last().head(200, AnswerKind.ATTESTED, true);
        harness.runners.last().bytes("id: 1\ndata: x\n\n");
        assertFalse(sentBefore.isAnswered());
        assertFalse(send("bad").isAnswered());
    }

    /** Guards against nobody judging the crashes of backend servers of plain services. */
    @Test
    public void shouldRefusePlainRequestThatCrashedThreeServersWithoutSide() {
        assertRefusedAfterThreeCrashes(RouteKind.UNSAFE, () -> {
            harness.send(RouteKind.UNSAFE, false);
            loseLastAttempt();
        });
    }

    /** Guards against forgetting the crashes of a request that runs to its end although its caller has left. */
    @Test
    public void shouldRefusePlainRequestThatCrashedThreeServersAfterItsCallersHadLeft() {
        assertRefusedAfterThreeCrashes(RouteKind.UNSAFE, () -> {
            harness.send(RouteKind.UNSAFE, false).disconnect();
            assertFalse(harness.runners.last().cancelled);
            harness.clock.advanceMillis(30);
            loseLastAttempt();
        });
    }

    /** Guards against forgetting a request that is cancelled when its caller leaves and crashes its server anyway. */
    @Test
    public void shouldRefusePlainRequestAfterWhoseCancellationThreeServersRestarted() {
        assertRefusedAfterThreeCrashes(RouteKind.SAFE, () -> {
            harness.send(RouteKind.SAFE, false).disconnect();
            assertTrue(harness.runners.last().cancelled);
            harness.clock.advanceMillis(1_500);
            RunnerEntry server = harness.runners.last().runner;
            harness.crashMonitor.registered(new RunnerEntry(
                    "after " + server.id(), server.service(), server.address(), server.zone(), 2, 8, false, Map.of()));
        });
    }

    private void loseLastAttempt() {
        harness.runners.last().fail(true);
        harness.clock.advanceMillis(10);
        harness.probe.answer(LivenessProbe.Result.OTHER_INCARNATION);
    }

    /** Let a request crash three of four plain servers, which are gone then, and assert that it is not sent again. */
    private void assertRefusedAfterThreeCrashes(RouteKind kind, Runnable crash) {
        for (int server = 0; server < 4; server++) {
            harness.runner("p" + server, DispatcherHarness.PLAIN);
        }
        for (int crashes = 0; crashes < 3; crashes++) {
            harness.clock.advanceMillis(1_000);
            crash.run();
            harness.table.remove(harness.runners.last().runner.id());
        }
        int sends = harness.runners.sent.size();
        assertEquals(harness.send(kind, false).refusal.reason(), RefusalReason.QUARANTINED);
        assertEquals(harness.runners.sent.size(), sends);
    }

    /** Guards against refusing a request that is answered whenever its caller does not wait for the answer. */
    @Test
    public void shouldClearRequestThatIsAnsweredAfterItsCallerHasLeft() {
        harness.runner("p", DispatcherHarness.PLAIN);
        harness.send(RouteKind.UNSAFE, false).disconnect();
        FakeRunners.Sent attempt = harness.runners.last();
        String key =
                ContentKeys.ofRequest(List.of(), "POST /p/x\n/", new byte[0]).get(0);
        strike(3, key);
        assertEquals(harness.send(RouteKind.UNSAFE, false).refusal.reason(), RefusalReason.QUARANTINED);
        attempt.answer(200, AnswerKind.ATTESTED, "ok");
        assertFalse(harness.send(RouteKind.UNSAFE, false).isAnswered());
    }

    /** Guards against blaming a request whose connection is closed since its time is over. */
    @Test
    public void shouldBlameNothingWhenRequestOfCallerThatLeftReachesItsDeadline() {
        harness.runner("p", DispatcherHarness.PLAIN);
        harness.send(RouteKind.UNSAFE, false).disconnect();
        harness.clock.advanceMillis(2_000);
        harness.runners.last().fail(true);
        assertTrue(harness.probe.probed.isEmpty());
    }

    /** Guards against refusing a request because connections to servers that still run broke. */
    @Test
    public void shouldSendPlainRequestAgainWhenServersThatLostItStillRun() {
        harness.runner("p", DispatcherHarness.PLAIN);
        for (int loss = 0; loss < 5; loss++) {
            harness.clock.advanceMillis(1_000);
            harness.send(RouteKind.UNSAFE, false);
            harness.runners.last().fail(true);
            harness.clock.advanceMillis(10);
            harness.probe.answer(LivenessProbe.Result.SAME_INCARNATION);
        }
        assertFalse(harness.send(RouteKind.UNSAFE, false).isAnswered());
    }

    /** Guards against a crash after the first event being taken for a sign that the request is sound. */
    @Test
    public void shouldRefuseRequestWhoseAnswerCrashedThreeRunnersAfterItHadBegun() {
        FakeCaller completed = send("first");
        begin(harness.runners.last());
        harness.runners.last().end();
        assertTrue(completed.isAnswered());
        for (int crash = 0; crash < 3; crash++) {
            send("first");
            begin(harness.runners.last());
            harness.runners.last().fail(true);
            strike(1, answerKeyOf(reports().get(crash)));
        }
        assertEquals(send("first").refusal.reason(), RefusalReason.QUARANTINED);
    }

    /** Guards against refusing a request that is answered in full in spite of earlier crashes. */
    @Test
    public void shouldSendAgainWhenAnswerWasCompletedAfterCrashes() {
        FakeCaller sentBefore = send("first");
        FakeRunners.Sent attempt = harness.runners.last();
        begin(attempt);
        String key = ContentKeys.ofAnswer(
                ContentKeys.ofRequest(List.of(), "POST /p/x\nm1/", new byte[0]).get(0));
        strike(3, key);
        assertEquals(send("first").refusal.reason(), RefusalReason.QUARANTINED);
        attempt.end();
        assertTrue(sentBefore.isAnswered());
        assertFalse(send("first").isAnswered());
    }

    /** Guards against many copies of a request crashing all servers at the moment in which they are back. */
    @Test
    public void shouldSendOneCopyAtATimeWhenItsLossesDoNotTellWhetherItIsHarmful() {
        String key =
                ContentKeys.ofRequest(List.of(), "POST /p/x\nm1/", new byte[0]).get(0);
        for (int crash = 0; crash < 3; crash++) {
            harness.quarantine.strikeReceived(new StrikeFrame(key, "h " + crash, true, 60_000, 20, 5));
        }
        int sends = harness.runners.sent.size();
        List<FakeCaller> callers = List.of(send(), send(), send());
        assertEquals(harness.runners.sent.size(), sends);
        harness.clock.advanceMillis(1_200);
        send();
        assertEquals(harness.runners.sent.size(), sends + 1);
        begin(harness.runners.last());
        for (FakeCaller caller : callers) {
            assertFalse(caller.isAnswered());
            harness.table.byId("a").status(status(), link);
            harness.dispatcher.tick();
        }
        assertEquals(harness.runners.sent.size(), sends + 4, "all once the answer has begun");
    }

    private static void begin(FakeRunners.Sent attempt) {
        attempt.head(200, AnswerKind.ATTESTED, true);
        attempt.bytes("id: 1\ndata: x\n\n");
    }

    private static String answerKeyOf(LostRequestFrame report) {
        assertEquals(report.keys().size(), 1);
        return report.keys().get(0);
    }

    private void strike(int count, String key) {
        for (int crash = 0; crash < count; crash++) {
            harness.clock.advanceMillis(100);
            harness.quarantine.strikeReceived(
                    new StrikeFrame(key, "h " + harness.clock.nowNanos(), true, 60_000, 20, 5));
        }
    }
}
