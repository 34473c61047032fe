package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.RecordingLink;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.routing.TwoChoiceSelector;
import org.arbutusstack.wire.frame.RunnerStatusFrame;
import org.testng.annotations.Test;

/** Tests from which availability zones an entry in zone regina chooses runners. */
public class ZoneCandidatesTests {

    private static final Route STREAM =
            DispatcherHarness.route(RouteKind.STREAMING, DispatcherHarness.ENGINE, 1, false);

    private static DispatcherHarness harness(long penaltyMillis) {
        return new DispatcherHarness(RetryLimits.ofFleet(1, 160), 16_000_000, penaltyMillis);
    }

    private static void status(DispatcherHarness harness, String id, int queued) {
        List<RunnerStatusFrame.HeldModel> held = List.of(new RunnerStatusFrame.HeldModel("m1", 1, List.of()));
        harness.table
                .byId(id)
                .status(
                        new RunnerStatusFrame(
                                1, 0, true, -1, queued, 0, 0, 1, held, List.of(), Map.of(), "", false, 1, 500, 0),
                        new RecordingLink());
    }

    private static double sends(DispatcherHarness harness, String zone, String reason) {
        return harness.registry.scrape(name -> name.equals("arbutus_gateway_zone_sends")).stream()
                .flatMap(metric -> ((CounterSnapshot) metric).getDataPoints().stream())
                .filter(point -> zone.equals(point.getLabels().get("zone"))
                        && reason.equals(point.getLabels().get("reason")))
                .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                .sum();
    }

    /** Guards against a changed choice where the setting is absent: the better of two runners over all zones. */
    @Test
    public void shouldChooseOverAllZonesWhenPenaltyIsZero() {
        DispatcherHarness harness = harness(0);
        List<String> zones = List.of("regina", "moose", "swift");
        for (int number = 0; number < 9; number++) {
            harness.runnerIn(zones.get(number % 3), "r" + number, DispatcherHarness.ENGINE, "m1");
        }
        TwoChoiceSelector selector = new TwoChoiceSelector("regina");
        RoutingRequest needs = new RoutingRequest(DispatcherHarness.ENGINE, "m1", "");
        for (int request = 1; request <= 200; request++) {
            for (int number = 0; number < 9; number++) {
                status(harness, "r" + number, (request * 7 + number * 5) % 3);
            }
            List<RunnerView> views = new ArrayList<>();
            harness.table.takingWork(DispatcherHarness.ENGINE).forEach(runner -> views.add(runner.view()));
            List<RunnerView> pair = selector.candidates(needs, ("q" + request).hashCode(), views);
            harness.send(STREAM, "m1");
            assertEquals(
                    harness.runners.last().runner.id(), selector.better(pair).name());
        }
        assertEquals(
                harness.registry.scrape(name -> name.equals("arbutus_gateway_zone_sends")).stream()
                        .mapToInt(metric -> metric.getDataPoints().size())
                        .sum(),
                0);
        assertTrue(harness.zones.describe().isEmpty());
    }

    /** Guards against traffic between zones that gains nothing. */
    @Test
    public void shouldStayWhenHomeServesInTime() {
        DispatcherHarness harness = harness(20);
        harness.runnerIn("regina", "home", DispatcherHarness.ENGINE, "m1");
        harness.runnerIn("moose", "other", DispatcherHarness.ENGINE, "m1");
        for (int request = 0; request < 20; request++) {
            status(harness, "home", 1);
            status(harness, "other", 0);
            harness.send(DispatcherHarness.slowRoute(), "m1");
            assertEquals(harness.runners.last().runner.id(), "home");
        }
        assertEquals(sends(harness, "regina", "home"), 20.0);
    }

    /** Guards against requests sent to a zone of which nothing is known, and refused while another zone has room. */
    @Test
    public void shouldLeaveForZoneWithStatusOnlyWhenHomeIsLate() {
        DispatcherHarness harness = harness(20);
        harness.runnerIn("regina", "home", DispatcherHarness.ENGINE, "m1");
        harness.runnerIn("moose", "other", DispatcherHarness.ENGINE, "m1");
        status(harness, "home", 12);
        FakeCaller refused = harness.send(STREAM, "m1");
        assertNotNull(refused.refusal, "late at home, and nothing is known of the other zone");
        status(harness, "other", 0);
        harness.send(STREAM, "m1");
        assertEquals(harness.runners.last().runner.id(), "other");
        assertEquals(sends(harness, "moose", "late-at-home"), 1.0);
        status(harness, "other", 16);
        assertNotNull(harness.send(STREAM, "m1").refusal, "the other zone is full too");
    }

    /** Guards against requests that wait at home for a model that another zone holds. */
    @Test
    public void shouldLeaveWhenOnlyOtherZoneHoldsModel() {
        DispatcherHarness harness = harness(20);
        harness.runnerIn("regina", "home", DispatcherHarness.ENGINE, "m2");
        harness.runnerIn("moose", "other", DispatcherHarness.ENGINE, "m1");
        status(harness, "other", 1);
        harness.send(STREAM, "m1");
        assertEquals(harness.runners.last().runner.id(), "other");
        assertEquals(sends(harness, "moose", "only-elsewhere"), 1.0);
    }

    private static int answerPlain(DispatcherHarness harness, int requests, Map<String, Integer> millis) {
        int left = 0;
        for (int request = 0; request < requests; request++) {
            harness.send(RouteKind.SAFE, false);
            KnownRunner runner =
                    harness.table.byId(harness.runners.last().runner.id());
            harness.clock.advanceMillis(millis.get(runner.entry().zone()));
            harness.runners.last().answer(200, AnswerKind.ATTESTED, "ok");
            left += runner.entry().zone().equals("regina") ? 0 : 1;
        }
        return left;
    }

    /** Guards against plain requests that are late at home, or leave for servers that are no faster. */
    @Test
    public void shouldLeaveZoneWhosePlainServersAreSlow() {
        DispatcherHarness harness = harness(20);
        harness.runnerIn("regina", "home", DispatcherHarness.PLAIN);
        harness.runnerIn("moose", "other", DispatcherHarness.PLAIN);
        assertEquals(answerPlain(harness, 50, Map.of("regina", 40, "moose", 40)), 0);
        int left = answerPlain(harness, 200, Map.of("regina", 250, "moose", 40));
        assertTrue(left > 100, "only " + left + " left");
        assertTrue(harness.zones.describe().get(0).contains("zone=moose"), "in the state dump");
        answerPlain(harness, 50, Map.of("regina", 40, "moose", 250));
        assertEquals(answerPlain(harness, 100, Map.of("regina", 40, "moose", 250)), 0);
    }
}
