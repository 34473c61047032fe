package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.wire.frame.AdapterUseFrame;
import org.arbutusstack.wire.frame.RequestSentFrame;
import org.arbutusstack.wire.frame.RunnerOutcomeFrame;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.Test;

/** Tests requests for models, for which the sides of the runners are queried before anything is sent. */
public class EngineRequestTests {

    private static RunnerStatusFrame engineStatus(int queued) {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of()));
        return new RunnerStatusFrame(1, 0, true, -1, queued, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, 0);
    }

    /**
     * Guards against overload of a runner that appeared idle: 33 entries that choose by statuses half a second old all
     * send to it, and it begins the last request after its target (large trouble-1).
     */
    @Test
    public void shouldSpreadRequestsOfManyEntriesByQueryingTheSides() {
        Map<String, Integer> sentTo = new HashMap<>();
        for (int entry = 0; entry < 33; entry++) {
            DispatcherHarness harness = new DispatcherHarness();
            List<String> ids = List.of("a", "b", "c");
            Map<String, RecordingLink> links = new HashMap<>();
            for (String id : ids) {
                harness.runner(id, DispatcherHarness.ENGINE, "m1");
                links.put(id, new RecordingLink());
                harness.table.byId(id).status(engineStatus(id.equals("a") ? 0 : 2), links.get(id));
            }
            harness.clock.advanceMillis(400);
            harness.send(DispatcherHarness.slowRoute(), "m1");
            Map<String, Integer> answered = new HashMap<>();
            for (int round = 0; harness.runners.sent.isEmpty() && round < 4; round++) {
                for (String id : ids) {
                    if (links.get(id).sent.size() > answered.getOrDefault(id, 0)) {
                        answered.merge(id, 1, Integer::sum);
                        int load = sentTo.getOrDefault(id, 0) + (id.equals("a") ? 0 : 2);
                        harness.table.byId(id).status(engineStatus(load), links.get(id));
                        harness.dispatcher.runnerChanged(harness.table.byId(id));
                    }
                }
            }
            assertEquals(harness.runners.sent.size(), 1, "entry " + entry);
            sentTo.merge(harness.runners.last().runner.id(), 1, Integer::sum);
        }
        assertTrue(sentTo.values().stream().allMatch(count -> count <= 17), sentTo.toString());
    }

    @Test
    public void shouldQueryStatusBeforeRefusingWhenStatusesAreOld() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        RecordingLink link = new RecordingLink();
        harness.table.byId("a").status(engineStatus(40), link);
        harness.clock.advanceMillis(200);
        FakeCaller caller =
                harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "m1");
        assertFalse(caller.isAnswered());
        assertEquals(link.sent.size(), 1);
        harness.table.byId("a").status(engineStatus(0), link);
        harness.dispatcher.runnerChanged(harness.table.byId("a"));
        assertEquals(harness.runners.sent.size(), 1);
    }

    @Test
    public void shouldChooseAnotherHolderWhenSideDoesNotRespond() {
        DispatcherHarness harness = new DispatcherHarness();
        RecordingLink silent = new RecordingLink();
        RecordingLink answering = new RecordingLink();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        harness.runner("b", DispatcherHarness.ENGINE, "m1");
        harness.table.byId("a").status(engineStatus(0), silent);
        harness.table.byId("b").status(engineStatus(1), answering);
        harness.clock.advanceMillis(100);
        FakeCaller caller =
                harness.send(DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "m1");
        int answered = 0;
        for (int tick = 0; harness.runners.sent.isEmpty() && tick < 8; tick++) {
            harness.clock.advanceMillis(40);
            harness.dispatcher.tick();
            if (answering.sent.size() > answered) {
                answered = answering.sent.size();
                harness.table.byId("b").status(engineStatus(1), answering);
                harness.dispatcher.runnerChanged(harness.table.byId("b"));
            }
        }
        assertEquals(harness.runners.last().runner.id(), "b");
        assertFalse(caller.isAnswered());
    }

    /**
     * Guards against undercounted demand: refused callers must still count while they are expected to retry (large
     * trouble-1, 4 to 14 s).
     */
    @Test
    public void shouldCountCallersRefusedAtCapacityAsDemand() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        for (int caller = 0; caller < 30; caller++) {
            harness.table.byId("a").status(engineStatus(20), new RecordingLink());
            FakeCaller refused = harness.send(
                    DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false), "m1");
            assertEquals(refused.refusal.reason(), RefusalReason.DEADLINE_UNREACHABLE);
        }
        ModelRequestCount use =
                harness.dispatcher.requestsByModel(DispatcherHarness.ENGINE).get("m1");
        assertEquals(use, new ModelRequestCount(30, 0));
        harness.clock.advanceMillis(3_000);
        assertNull(harness.dispatcher.requestsByModel(DispatcherHarness.ENGINE).get("m1"));
    }

    private static RunnerStatusFrame suspectedStatus() {
        return new RunnerStatusFrame(
                1, 0, true, -1, 0, 0, 0, 1, engineStatus(0).models(), List.of(), Map.of(), "", true, 1, 500, 0);
    }

    private static DispatcherHarness threeHolders() {
        DispatcherHarness harness = new DispatcherHarness();
        for (String id : List.of("a", "b", "c")) {
            harness.runner(id, DispatcherHarness.ENGINE, "m1");
            harness.table.byId(id).status(engineStatus(0), new RecordingLink());
        }
        return harness;
    }

    @Test
    public void shouldAvoidARunnerThatOtherEntriesSuspect() {
        for (int draw = 0; draw < 10; draw++) {
            DispatcherHarness harness = threeHolders();
            harness.table.byId("a").status(suspectedStatus(), new RecordingLink());
            harness.send(DispatcherHarness.slowRoute(), "m1");
            assertNotEquals(harness.runners.last().runner.id(), "a");
        }
    }

    /** Guards against overload of the unsuspected third when all runners fail (trouble-1, 11 to 15 s). */
    @Test
    public void shouldUseSuspectedRunnersWhenMostAreSuspected() {
        DispatcherHarness harness = threeHolders();
        harness.table.byId("a").status(suspectedStatus(), new RecordingLink());
        harness.table.byId("b").status(suspectedStatus(), new RecordingLink());
        harness.table.byId("c").status(engineStatus(30), new RecordingLink());
        harness.send(DispatcherHarness.slowRoute(), "m1");
        assertNotEquals(harness.runners.last().runner.id(), "c");
    }

    @Test
    public void shouldLoadTheAdapterOnTheIdleHolderWhenNoRunnerHoldsIt() {
        for (String idle : List.of("a", "b")) {
            DispatcherHarness harness = new DispatcherHarness();
            Map<String, RecordingLink> links = new HashMap<>();
            for (String id : List.of("a", "b")) {
                harness.runner(id, DispatcherHarness.ENGINE, "m1");
                links.put(id, new RecordingLink());
                harness.table.byId(id).status(engineStatus(id.equals(idle) ? 0 : 4), links.get(id));
            }
            harness.send(DispatcherHarness.slowRoute(), "m1", "a1");
            assertEquals(links.get(idle).sent, List.of(new AdapterUseFrame("m1", "a1")), "idle: " + idle);
        }
    }

    @Test
    public void shouldReportToTheSideWhenItsRunnerHangs() {
        DispatcherHarness harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        RecordingLink link = new RecordingLink();
        harness.table.byId("a").status(engineStatus(0), link);
        FakeCaller caller = harness.send(DispatcherHarness.slowRoute(), "m1");
        harness.clock.advanceMillis(8_000);
        caller.disconnect();
        assertEquals(link.sent, List.of(new RequestSentFrame(1, 100), new RunnerOutcomeFrame(1, true)));
    }
}
