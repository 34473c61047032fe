package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the events of one stream come from runners of one version of the software. */
public class SoftwareVersionTests {

    private static final String BEGIN = "id: 1\ndata: a\n\n";

    private static final String REST = "id: 2\ndata: b\n\n";

    /** Time for which a stream runs; longer than its caller waits for an event. */
    private static final long STREAM_MILLIS = 9_000;

    /** Requests that wait at a runner; it begins the next one after more than the least limit, and within seconds. */
    private static final int BUSY_QUEUED = 20;

    private static DispatcherHarness harness() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("retries", DispatcherHarness.PLAIN);
        harness.earnRetries(20);
        harness.table.remove("retries");
        return harness;
    }

    private static FakeCaller send(DispatcherHarness harness) {
        return harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.PLAIN, 5, true), "");
    }

    private static void begin(FakeRunners.Sent attempt) {
        attempt.streamHead(true);
        attempt.bytes(BEGIN);
    }

    /** Guards against an answer whose events come from two versions, since its runner has crashed. */
    @Test
    public void shouldResumeStreamAtVersionThatBeganIt() {
        for (String version : new String[] {"v1", "v2"}) {
            DispatcherHarness harness = harness();
            harness.runnerOfVersion(version, "begins", DispatcherHarness.PLAIN);
            FakeCaller caller = send(harness);
            begin(harness.runners.last());
            for (int index = 0; index < 5; index++) {
                harness.runnerOfVersion("other" + index, "a" + index, DispatcherHarness.PLAIN);
            }
            harness.runnerOfVersion(version, "same", DispatcherHarness.PLAIN);
            harness.runners.last().fail(true);
            assertEquals(harness.runners.last().runner.id(), "same");
            assertEquals(harness.runners.last().lastEventId, "1");
            harness.runners.last().streamHead(true);
            harness.runners.last().bytes(REST);
            harness.runners.last().end();
            assertEquals(caller.body.toString(), BEGIN + REST);
            assertTrue(caller.ended);
        }
    }

    /** Guards against waiting for a version that no runner has: the caller learns at once that the stream broke off. */
    @Test
    public void shouldAbortStreamAtOnceWhenNoRunnerOfItsVersionIsLeft() {
        DispatcherHarness harness = harness();
        harness.runnerOfVersion("v1", "begins", DispatcherHarness.PLAIN);
        FakeCaller caller = send(harness);
        begin(harness.runners.last());
        harness.runnerOfVersion("v2", "newer", DispatcherHarness.PLAIN);
        harness.table.remove("begins");
        int sent = harness.runners.sent.size();
        harness.runners.last().fail(true);
        assertEquals(harness.runners.sent.size(), sent);
        assertTrue(caller.aborted);
        assertFalse(caller.ended);
    }

    /** Guards against binding a request to a version of which its caller has seen nothing. */
    @Test
    public void shouldUseAnyVersionUntilFirstEvent() {
        DispatcherHarness harness = harness();
        harness.runnerOfVersion("v1", "first", DispatcherHarness.PLAIN);
        FakeCaller caller = send(harness);
        harness.runners.last().streamHead(true);
        harness.runnerOfVersion("v2", "newer", DispatcherHarness.PLAIN);
        harness.table.remove("first");
        harness.runners.last().fail(true);
        assertEquals(harness.runners.last().runner.id(), "newer");
        begin(harness.runners.last());
        harness.runners.last().end();
        assertEquals(caller.body.toString(), BEGIN);
        assertTrue(caller.ended);
    }

    /** Callers that wait for a load, and callers that leave before, by the target of the route or at their deadline. */
    @DataProvider
    public Object[][] timeouts() {
        return new Object[][] {{20_000, 2_000, true}, {20_000, 100, false}, {10_000, 2_000, false}};
    }

    /** Guards against breaking a stream off, or joining it, since only runners of another version hold its model. */
    @Test(dataProvider = "timeouts")
    public void shouldAwaitModelAtVersionThatBeganStreamWhenItIsLoadedInTime(
            long timeoutMillis, long targetMillis, boolean isInTime) {
        DispatcherHarness harness = harness();
        harness.runnerOfVersion("v1", "begins", DispatcherHarness.ENGINE, "m1");
        report(harness, "begins", "m1");
        for (int index = 0; index < 20; index++) {
            harness.send(engineRoute(timeoutMillis, targetMillis), "m1");
            begin(harness.runners.last());
            harness.runners.last().end();
            report(harness, "begins", "m1");
        }
        FakeCaller caller = harness.send(engineRoute(timeoutMillis, targetMillis), "m1");
        begin(harness.runners.last());
        harness.clock.advanceMillis(STREAM_MILLIS);
        harness.runners.last().bytes(REST);
        harness.runnerOfVersion("v1", "empty", DispatcherHarness.ENGINE);
        report(harness, "empty");
        harness.runnerOfVersion("v2", "newer", DispatcherHarness.ENGINE, "m1");
        report(harness, "newer", "m1");
        harness.table.remove("begins");
        int sent = harness.runners.sent.size();
        harness.runners.last().fail(true);
        assertEquals(harness.runners.sent.size(), sent);
        assertEquals(caller.aborted, !isInTime);
        if (!isInTime) {
            return;
        }
        ModelRequestCount demand =
                harness.dispatcher.requestsByModel(DispatcherHarness.ENGINE).get("m1");
        assertEquals(demand.waitingByVersion(), Map.of("v1", 1));
        report(harness, "empty", "m1");
        harness.dispatcher.runnerChanged(harness.table.byId("empty"));
        assertEquals(harness.runners.last().runner.id(), "empty");
        assertEquals(harness.runners.last().lastEventId, "2");
    }

    /** Guards against breaking a stream off since no event can come within its first target, long after it began. */
    @Test
    public void shouldResumeStreamAtBusyRunnerWhenCallerStillWaits() {
        DispatcherHarness harness = harness();
        harness.runnerOfVersion("v1", "begins", DispatcherHarness.ENGINE, "m1");
        for (int index = 0; index < 20; index++) {
            report(harness, "begins", "m1");
            harness.send(engineRoute(20_000, 2_000), "m1");
            begin(harness.runners.last());
            harness.runners.last().end();
        }
        report(harness, "begins", "m1");
        FakeCaller caller = harness.send(engineRoute(20_000, 2_000), "m1");
        begin(harness.runners.last());
        harness.clock.advanceMillis(STREAM_MILLIS);
        harness.runners.last().bytes(REST);
        harness.runnerOfVersion("v1", "busy", DispatcherHarness.ENGINE, "m1");
        report(harness, "busy", BUSY_QUEUED, "m1");
        harness.table.remove("begins");
        harness.runners.last().fail(true);
        assertFalse(caller.aborted);
        assertEquals(harness.runners.last().runner.id(), "busy");
    }

    private static Route engineRoute(long timeoutMillis, long targetMillis) {
        return new Route(
                "r",
                "h",
                "/p/",
                RouteKind.STREAMING,
                timeoutMillis,
                targetMillis,
                100,
                1,
                List.of(new Route.WeightedService(DispatcherHarness.ENGINE, 1)),
                5,
                false,
                true,
                false);
    }

    private static void report(DispatcherHarness harness, String id, String... models) {
        report(harness, id, 0, models);
    }

    private static void report(DispatcherHarness harness, String id, int queued, String... models) {
        List<RunnerStatusFrame.HeldModel> held = List.of(models).stream()
                .map(model -> new RunnerStatusFrame.HeldModel(model, 1, List.of()))
                .toList();
        RunnerStatusFrame status =
                new RunnerStatusFrame(1, 0, true, -1, queued, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, 0);
        harness.table.byId(id).status(status, new RecordingLink());
    }
}
