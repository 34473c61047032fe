package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.gateway.runner.RunnerNotice;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how an entry sends requests, holds them or refuses them when backend servers name limits. */
public class LimitedRunnerTests {

    private DispatcherHarness harness;

    private PermitClient permits;

    @BeforeMethod
    public void start() {
        harness = new DispatcherHarness();
        permits = new PermitClient(
                "edge-1", harness.table, (runner, frame) -> harness.permitRequests.add(frame), () -> 4);
        harness.runner("a", DispatcherHarness.PLAIN);
    }

    private void name(String id, double perSecond) {
        harness.table.byId(id).limit().record(perSecond, harness.clock.nowNanos());
        harness.clock.advanceMillis(1);
    }

    private void answerPermit(long waitMillis) {
        PermitRequestFrame request = (PermitRequestFrame) harness.permitRequests.remove(0);
        if (permits.received(new PermitFrame(request.server(), waitMillis))) {
            harness.dispatcher.runnersChanged();
        }
    }

    @Test
    public void shouldSendToServerWithoutLimitWhenAnotherNamesOne() {
        harness.runner("b", DispatcherHarness.PLAIN);
        name("a", 2);
        for (int request = 0; request < 20; request++) {
            harness.send(RouteKind.SAFE, false);
            assertEquals(harness.runners.last().runner.id(), "b");
        }
        permits.tick();
        answerPermit(0);
        harness.send(RouteKind.SAFE, false);
        assertEquals(harness.runners.last().runner.id(), "a", "a granted permit is used");
        harness.send(RouteKind.SAFE, false);
        assertEquals(harness.runners.last().runner.id(), "b", "once");
    }

    @Test
    public void shouldHoldRequestUntilPermitArrivesWhenAllServersNameLimits() {
        name("a", 2);
        FakeCaller caller = harness.send(RouteKind.SAFE, false);
        assertTrue(harness.runners.sent.isEmpty());
        assertFalse(caller.isAnswered());
        answerPermit(0);
        assertEquals(harness.runners.sent.size(), 1);
    }

    /** Guards against holding a request that no server can take in time until its deadline. */
    @Test
    public void shouldRefuseAtOnceWhenNoPermitCanBeFreeInTime() {
        name("a", 0.5);
        FakeCaller first = harness.send(RouteKind.SAFE, false);
        answerPermit(1_900);
        harness.dispatcher.runnersChanged();
        assertNotNull(first.refusal);
        assertEquals(first.refusal.kind(), RefusalKind.NOT_RUN);
        assertTrue(first.retryAfterMillis > 0);
        assertNotNull(harness.send(RouteKind.SAFE, false).refusal);
        assertTrue(harness.runners.sent.isEmpty());
    }

    @Test
    public void shouldSendFreelyAgainOnlyWhenLaterAnswerNamesNoLimit() {
        harness.send(RouteKind.SAFE, false);
        FakeRunners.Sent sentBefore = harness.runners.last();
        harness.clock.advanceMillis(5);
        harness.send(RouteKind.SAFE, false);
        harness.runners.last().notice = new RunnerNotice(2, false, 0);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "ok");
        KnownRunner runner = harness.table.byId("a");
        assertTrue(runner.limit().isActive());
        sentBefore.answer(200, AnswerKind.ATTESTED, "ok");
        assertTrue(runner.limit().isActive(), "heads overtake each other");
        harness.clock.advanceMillis(5);
        harness.send(RouteKind.SAFE, false);
        answerPermit(0);
        harness.runners.last().answer(503, AnswerKind.UNATTESTED, "");
        assertTrue(runner.limit().isActive(), "not an answer of the runner");
        harness.clock.advanceMillis(1_000);
        harness.send(RouteKind.SAFE, false);
        answerPermit(0);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "ok");
        assertFalse(runner.limit().isActive());
    }

    /** Guards against sending to a server that has said in an answer that it leaves, until the directory says so. */
    @Test
    public void shouldSendNothingMoreToServerThatSaysThatItLeaves() {
        harness.runner("b", DispatcherHarness.PLAIN);
        harness.send(RouteKind.SAFE, false);
        String leaving = harness.runners.last().runner.id();
        harness.runners.last().notice = new RunnerNotice(0, true, 0);
        harness.runners.last().answer(200, AnswerKind.ATTESTED, "ok");
        for (int request = 0; request < 20; request++) {
            harness.send(RouteKind.SAFE, false);
            assertNotEquals(harness.runners.last().runner.id(), leaving);
        }
        harness.table.put(harness.table.byId(leaving).entry());
        assertFalse(harness.table.byId(leaving).takesWork(), "the directory may be behind");
    }

    /** Guards against sending to a server that has asked to be left alone for a while. */
    @Test
    public void shouldSendNothingToServerUntilItsRetryAfterHasPassed() {
        harness.send(RouteKind.SAFE, false);
        harness.runners.last().notice = new RunnerNotice(0, false, 3_000);
        harness.runners.last().answer(503, AnswerKind.NOT_RUN, "");
        int sends = harness.runners.sent.size();
        harness.clock.advanceMillis(100);
        FakeCaller refused = harness.send(RouteKind.SAFE, false);
        assertNotNull(refused.refusal, "no server can take it in time");
        assertTrue(refused.retryAfterMillis >= 2_900, "back after " + refused.retryAfterMillis + " ms, too early");
        assertEquals(refused.refusal.kind(), RefusalKind.NOT_RUN);
        assertEquals(harness.runners.sent.size(), sends);
        harness.clock.advanceMillis(3_000);
        harness.send(RouteKind.SAFE, false);
        assertEquals(harness.runners.sent.size(), sends + 1);
    }

    /** Guards against an entry keeping to its own share of the limit long after the side grants permits again. */
    @Test
    public void shouldAskForPermitsAgainSoonWhenTheSideIsBack() {
        boolean[] isUp = {false};
        permits = new PermitClient(
                "edge-1", harness.table, (runner, frame) -> isUp[0] && harness.permitRequests.add(frame), () -> 33);
        name("a", 1.6);
        List<KnownRunner> limited = List.of(harness.table.byId("a"));
        permits.request(limited);
        harness.clock.advanceMillis(500);
        isUp[0] = true;
        permits.request(limited);
        assertEquals(harness.permitRequests.size(), 1);
        answerPermit(0);
        assertFalse(limited.get(0).limit().needsPermit());
    }
}
