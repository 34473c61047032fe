package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what happens to requests that no runner can begin in time, during a burst at one runner. */
public class LateAdmissionTests {

    private static final int OVERLOADED = 60;

    private static final Route CHAT = route(500);

    private static final Route BATCH = route(12_000);

    private final RecordingLink link = new RecordingLink();

    private DispatcherHarness harness;

    private static Route route(long targetMillis) {
        return new Route(
                "r" + targetMillis,
                "h",
                "/p/",
                RouteKind.STREAMING,
                15_000,
                targetMillis,
                300,
                0,
                List.of(new Route.WeightedService(DispatcherHarness.ENGINE, 1)),
                1,
                false,
                false,
                false);
    }

    @BeforeMethod
    public void createRunner() {
        harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        harness.dispatcher.config(new ServingConfig(1, List.of(CHAT, BATCH), List.of(), 1_000));
        report(OVERLOADED);
    }

    private void report(int queued) {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of()));
        harness.table
                .byId("a")
                .status(
                        new RunnerStatusFrame(
                                1, 0, true, -1, queued, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, 0),
                        link);
        harness.dispatcher.runnerChanged(harness.table.byId("a"));
    }

    /** Guards against a refusal of a caller who would still be there when the burst is over. */
    @Test
    public void shouldServeLateWhenRunnerIsIdleBeforeCallerLeaves() {
        FakeCaller caller = harness.send(CHAT, "m1");
        assertFalse(caller.isAnswered());
        harness.clock.advanceMillis(900);
        report(0);
        assertEquals(harness.runners.sent.size(), 1);
    }

    /** Guards against late requests that lengthen a queue in which others are still in time. */
    @Test
    public void shouldNotSendLateRequestToBusyRunner() {
        harness.send(CHAT, "m1");
        harness.clock.advanceMillis(900);
        report(6);
        assertEquals(harness.runners.sent.size(), 0);
    }

    /** Guards against callers who wait in vain: without gaps only a few may, the rest are told at once. */
    @Test
    public void shouldRefuseAtOnceWhenMoreWaitThanGapsAreExpected() {
        int refused = 0;
        for (int sent = 0; sent < 20; sent++) {
            refused += harness.send(CHAT, "m1").isAnswered() ? 1 : 0;
        }
        assertEquals(refused, 16);
    }

    /** Guards against a request that is held until its caller has left. */
    @Test
    public void shouldRefuseWhenHalfOfPatienceHasPassed() {
        FakeCaller caller = harness.send(CHAT, "m1");
        harness.clock.advanceMillis(CHAT.callerTimeoutMillis() / 2 + 1);
        report(OVERLOADED);
        assertTrue(caller.isAnswered());
        assertEquals(harness.runners.sent.size(), 0);
    }

    /** Guards against a change for deployments whose routes all have near targets. */
    @Test
    public void shouldRefuseAtOnceWhenNoRouteIsDeferrable() {
        harness.dispatcher.config(new ServingConfig(2, List.of(CHAT), List.of(), 1_000));
        assertTrue(harness.send(CHAT, "m1").isAnswered());
    }
}
