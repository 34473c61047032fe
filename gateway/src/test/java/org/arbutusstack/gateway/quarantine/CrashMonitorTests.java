package org.arbutusstack.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.arbutusstack.gateway.quarantine.LivenessProbe.Result;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how an entry finds out whether a backend server without a side crashed, and what it blames. */
public class CrashMonitorTests {

    private static final RunnerEntry SERVER =
            new RunnerEntry("i-1", "orderdesk", new HttpTarget("10.0.0.1", 80), "z1", 7, 8, false, Map.of());

    /** The next incarnation of the server, under the same identifier. */
    private static final RunnerEntry LATER =
            new RunnerEntry("i-1", "orderdesk", SERVER.address(), "z1", 9, 8, false, Map.of());

    private ManualClock clock;

    private List<StrikeFrame> strikes;

    private List<Consumer<Result>> probes;

    private CrashMonitor monitor;

    @BeforeMethod
    public void start() {
        clock = new ManualClock(1_000_000_000L);
        strikes = new ArrayList<>();
        probes = new ArrayList<>();
        LivenessProbe probe = (server, path, deadlineNanos, listener) -> probes.add(listener);
        monitor = new CrashMonitor(probe, server -> "/health", strikes::add, clock, new PrometheusRegistry());
    }

    private void answer(Result result) {
        assertEquals(probes.size(), 1, "one probe at a time");
        probes.remove(0).accept(result);
    }

    private void advance(long millis) {
        clock.advanceMillis(millis);
        monitor.tick();
    }

    @Test
    public void shouldStrikeLostContentWhenConnectionsAreRefusedTwice() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        monitor.lost(SERVER, 10, List.of("request:b"));
        answer(Result.REFUSED);
        assertTrue(strikes.isEmpty());
        advance(60);
        answer(Result.REFUSED);
        assertEquals(strikes.size(), 2);
        assertTrue(strikes.stream().allMatch(strike -> strike.incident().equals("10.0.0.1:80@7")));
        monitor.lost(SERVER, 90, List.of("request:c"));
        assertEquals(strikes.size(), 3, "a loss that is heard of later is one of the same crash");
    }

    @Test
    public void shouldStrikeAtOnceWhenAnotherIncarnationAnswers() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        answer(Result.OTHER_INCARNATION);
        assertEquals(strikes.size(), 1);
        advance(5_000);
        assertTrue(probes.isEmpty(), "nothing is open any more");
    }

    /** Guards against broken connections of a server that still runs being blamed on what it was sent. */
    @Test
    public void shouldBlameNothingWhenServerStillRuns() {
        for (int loss = 0; loss < 10; loss++) {
            monitor.lost(SERVER, 20, List.of("request:a"));
            clock.advanceMillis(1);
            answer(Result.SAME_INCARNATION);
            advance(60);
            if (!probes.isEmpty()) {
                answer(Result.SAME_INCARNATION);
            }
        }
        assertTrue(strikes.isEmpty());
    }

    /** Guards against a link that is cut, or a server that is busy, being taken for a crash. */
    @Test
    public void shouldBlameNothingWhenNothingIsHeard() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        for (int probe = 0; probe < 40; probe++) {
            if (!probes.isEmpty()) {
                answer(Result.NO_ANSWER);
            }
            advance(400);
        }
        assertTrue(strikes.isEmpty());
        assertTrue(probes.isEmpty(), "old losses are given up");
    }

    @Test
    public void shouldRetractStrikesWhenServerThatRefusedConnectionsAnswersAgain() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        answer(Result.REFUSED);
        advance(60);
        answer(Result.REFUSED);
        advance(600);
        answer(Result.SAME_INCARNATION);
        assertEquals(strikes.size(), 2);
        assertFalse(strikes.get(1).valid());
        assertEquals(strikes.get(1).incident(), strikes.get(0).incident());
    }

    /** Guards against forgetting a crash since the server answers under its identifier after its restart. */
    @Test
    public void shouldKeepStrikesWhenServerThatRefusedConnectionsAnswersWithoutStatingItsStart() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        answer(Result.REFUSED);
        advance(60);
        answer(Result.REFUSED);
        advance(600);
        answer(Result.SAME_IDENTIFIER);
        assertEquals(strikes.size(), 1);
        assertTrue(strikes.get(0).valid());
        advance(5_000);
        assertTrue(probes.isEmpty(), "further probes show nothing");
    }

    @Test
    public void shouldBlameNothingWhenServerAnswersUnderItsIdentifierWithoutHavingBeenAway() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        answer(Result.SAME_IDENTIFIER);
        advance(60);
        answer(Result.SAME_IDENTIFIER);
        monitor.registered(LATER);
        assertTrue(strikes.isEmpty());
    }

    /** Guards against dismissing the losses of a crash that showed only as silence. */
    @Test
    public void shouldStrikeWhenServerThatWasSilentIsRegisteredWithALaterStart() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        answer(Result.NO_ANSWER);
        advance(60);
        answer(Result.SAME_IDENTIFIER);
        assertTrue(strikes.isEmpty());
        monitor.registered(SERVER);
        assertTrue(strikes.isEmpty());
        monitor.registered(LATER);
        assertEquals(strikes.size(), 1);
        assertEquals(strikes.get(0).incident(), "10.0.0.1:80@7");
    }

    /** Guards against dropping the losses of a crash when the next incarnation loses requests too. */
    @Test
    public void shouldStrikeForEachIncarnationWhenLaterOneUnderTheSameIdentifierLosesRequests() {
        monitor.lost(SERVER, 20, List.of("request:a"));
        answer(Result.NO_ANSWER);
        monitor.lost(LATER, 20, List.of("request:a"));
        answer(Result.OTHER_INCARNATION);
        assertEquals(strikes.stream().map(StrikeFrame::incident).toList(), List.of("10.0.0.1:80@7", "10.0.0.1:80@9"));
    }

    /** Guards against dropping the losses of an incarnation when one is reported late of the incarnation before. */
    @Test
    public void shouldKeepLossesWhenOneOfAnEarlierIncarnationIsReportedLate() {
        monitor.lost(LATER, 20, List.of("request:a"));
        answer(Result.NO_ANSWER);
        monitor.lost(SERVER, 2_000, List.of("request:b"));
        answer(Result.OTHER_INCARNATION);
        advance(60);
        answer(Result.OTHER_INCARNATION);
        assertEquals(
                strikes.stream()
                        .map(strike -> strike.key() + ' ' + strike.incident())
                        .toList(),
                List.of("request:b 10.0.0.1:80@7", "request:a 10.0.0.1:80@9"));
    }

    @DataProvider
    public Object[][] successors() {
        RunnerEntry atTheAddress = new RunnerEntry("i-2", "orderdesk", SERVER.address(), "z1", 9, 8, false, Map.of());
        return new Object[][] {{LATER}, {atTheAddress}};
    }

    /** Guards against a request that is never blamed since its callers leave before it crashes the server. */
    @Test(dataProvider = "successors")
    public void shouldStrikeAbandonedContentWhenServerRestartsSoonAfterwards(RunnerEntry successor) {
        monitor.abandoned(SERVER, 50, List.of("request:a"));
        advance(2_000);
        assertTrue(probes.isEmpty(), "callers that leave cause no probes");
        monitor.registered(successor);
        assertEquals(strikes.stream().map(StrikeFrame::key).toList(), List.of("request:a"));
        assertEquals(strikes.get(0).incident(), "10.0.0.1:80@7");
    }

    @Test
    public void shouldStrikeAbandonedContentTogetherWithLostContent() {
        monitor.abandoned(SERVER, 50, List.of("request:a"));
        monitor.lost(SERVER, 20, List.of("request:b"));
        answer(Result.OTHER_INCARNATION);
        assertEquals(strikes.stream().map(StrikeFrame::key).sorted().toList(), List.of("request:a", "request:b"));
    }

    /** Guards against blaming what callers had abandoned at a server that leaves as planned, or long before a crash. */
    @Test
    public void shouldBlameNothingThatWasAbandonedWhenServerLeavesOrRestartsLater() {
        monitor.abandoned(SERVER, 50, List.of("request:a"));
        monitor.registered(new RunnerEntry("i-1", "orderdesk", SERVER.address(), "z1", 7, 8, true, Map.of()));
        advance(2_000);
        monitor.registered(new RunnerEntry("i-2", "other", SERVER.address(), "z1", 8, 8, false, Map.of()));
        monitor.abandoned(LATER, 50, List.of("request:b"));
        advance(6_000);
        monitor.registered(new RunnerEntry("i-1", "orderdesk", SERVER.address(), "z1", 12, 8, false, Map.of()));
        assertTrue(strikes.isEmpty());
    }

    /** Guards against blaming what was abandoned at a server that was leaving already. */
    @Test
    public void shouldBlameNothingThatWasAbandonedAtLeavingServer() {
        RunnerEntry leaving = new RunnerEntry("i-1", "orderdesk", SERVER.address(), "z1", 7, 8, true, Map.of());
        monitor.abandoned(leaving, 50, List.of("request:a"));
        monitor.registered(LATER);
        assertTrue(strikes.isEmpty());
    }

    /** Guards against waiting for the restart of a server that evidently refuses connections. */
    @Test
    public void shouldStrikeAbandonedContentWhenServerCannotBeReachedAfterwards() {
        monitor.unreachable(SERVER);
        assertTrue(probes.isEmpty(), "nothing is suspected there");
        monitor.abandoned(SERVER, 50, List.of("request:a"));
        monitor.unreachable(SERVER);
        monitor.unreachable(SERVER);
        answer(Result.REFUSED);
        advance(60);
        answer(Result.REFUSED);
        assertEquals(strikes.stream().map(StrikeFrame::key).toList(), List.of("request:a"));
    }

    @Test
    public void shouldBlameNothingThatWasAbandonedWhenServerIsReachedAgain() {
        monitor.abandoned(SERVER, 50, List.of("request:a"));
        monitor.unreachable(SERVER);
        answer(Result.REFUSED);
        advance(60);
        answer(Result.SAME_IDENTIFIER);
        advance(1_000);
        assertTrue(probes.isEmpty());
        assertTrue(strikes.isEmpty());
    }

    /** Guards against crashes that count once since the directory does not list the restarts between them yet. */
    @Test
    public void shouldCountNextCrashOfServerWhoseRestartIsNotListedYet() {
        crashByRefusal(20);
        advance(2_000);
        answer(Result.SAME_IDENTIFIER);
        crashByRefusal(20);
        assertEquals(strikes.size(), 2);
        assertNotEquals(strikes.get(1).incident(), strikes.get(0).incident());
    }

    private void crashByRefusal(long sentAgoMillis) {
        monitor.lost(SERVER, sentAgoMillis, List.of("request:a"));
        answer(Result.REFUSED);
        advance(60);
        answer(Result.REFUSED);
    }
}
