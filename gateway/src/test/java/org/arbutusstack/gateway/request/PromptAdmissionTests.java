package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the holding of prompts and the order of the requests that are held, on one runner with a full budget. */
public class PromptAdmissionTests {

    private static final long FULL_TOKENS = 20_000;

    private static final Route INTERACTIVE = route("chat", 0, 500);

    private static final Route DEFERRABLE = route("batch", 2, 12_000);

    private final RecordingLink link = new RecordingLink();

    private DispatcherHarness harness;

    private static Route route(String name, int priority, long targetMillis) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                RouteKind.STREAMING,
                20_000,
                targetMillis,
                300,
                priority,
                List.of(new Route.WeightedService(DispatcherHarness.ENGINE, 1)),
                1,
                false,
                false,
                false);
    }

    private static Team team(String name) {
        return new Team(name, Set.of(), OptionalInt.empty(), AllotmentUnit.TOKEN, 1_000, 1_000, 200);
    }

    @BeforeMethod
    public void createRunner() {
        harness = new DispatcherHarness();
        harness.runner("a", DispatcherHarness.ENGINE, "m1");
        config(INTERACTIVE, DEFERRABLE);
        report(FULL_TOKENS);
    }

    private void config(Route... routes) {
        harness.dispatcher.config(new ServingConfig(1, List.of(routes), List.of(), 1_000));
    }

    private void report(long promptTokens) {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of()));
        harness.table
                .byId("a")
                .status(
                        new RunnerStatusFrame(
                                1, 0, true, -1, 0, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, promptTokens),
                        link);
        harness.dispatcher.runnerChanged(harness.table.byId("a"));
    }

    /** Guards against a prompt that makes all streams of a runner late while there is time to wait. */
    @Test
    public void shouldHoldPromptUntilRunnerHasRoom() {
        FakeCaller caller = harness.send(INTERACTIVE, "m1");
        assertEquals(harness.runners.sent.size(), 0);
        assertFalse(caller.isAnswered());
        report(0);
        assertEquals(harness.runners.sent.size(), 1);
    }

    /** Guards against a change for deployments whose routes all have near targets. */
    @Test
    public void shouldSendAtOnceWhenNoRouteIsDeferrable() {
        config(INTERACTIVE);
        harness.send(INTERACTIVE, "m1");
        assertEquals(harness.runners.sent.size(), 1);
    }

    /** Guards against a request that is held past its target. */
    @Test
    public void shouldSendWhenHalfOfTargetHasPassed() {
        harness.send(INTERACTIVE, "m1");
        harness.clock.advanceMillis(251);
        report(FULL_TOKENS);
        assertEquals(harness.runners.sent.size(), 1);
    }

    /** Guards against deferrable work that takes the room for which an urgent request waits. */
    @Test
    public void shouldSendUrgentRequestFirstWhenRoomReturns() {
        harness.send(DEFERRABLE, "m1");
        harness.clock.advanceMillis(10);
        harness.send(INTERACTIVE, "m1");
        report(0);
        assertEquals(harness.runners.sent.get(0).request.route(), INTERACTIVE);
    }

    /** Guards against a request that overtakes a held one of equal urgency since it finds room by chance. */
    @Test
    public void shouldKeepOrderOfArrivalAmongEqualRequests() {
        harness.send(INTERACTIVE, "m1");
        harness.clock.advanceMillis(10);
        harness.send(INTERACTIVE, "m1");
        report(0);
        assertEquals(harness.runners.sent.get(0).request.id(), "q1");
    }

    /** Guards against a team at six times its usual load that displaces another one within its allotment. */
    @Test
    public void shouldSendTeamWithSmallerShareFirst() {
        report(0);
        for (int sent = 0; sent < 6; sent++) {
            harness.send(INTERACTIVE, "m1", "", team("hot"));
        }
        report(FULL_TOKENS);
        int before = harness.runners.sent.size();
        harness.send(INTERACTIVE, "m1", "", team("hot"));
        harness.clock.advanceMillis(10);
        harness.send(INTERACTIVE, "m1", "", team("calm"));
        report(0);
        assertEquals(
                harness.runners.sent.get(before).request.team().orElseThrow().name(), "calm");
    }

    /** Guards against prompts for a runner that stands still for a moment: all its streams wait for them as well. */
    @Test
    public void shouldHoldPromptWhileStreamsOfRunnerPause() {
        report(0);
        harness.send(INTERACTIVE, "m1");
        harness.runners.last().streamHead(true);
        harness.runners.last().bytes("id: 1\ndata: x\n\n");
        harness.clock.advanceMillis(200);
        report(0);
        harness.send(INTERACTIVE, "m1");
        assertEquals(harness.runners.sent.size(), 1);
        harness.runners.sent.get(0).bytes("id: 2\ndata: x\n\n");
        report(0);
        assertEquals(harness.runners.sent.size(), 2);
    }
}
