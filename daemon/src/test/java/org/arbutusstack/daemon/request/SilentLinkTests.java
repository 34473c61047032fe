package org.arbutusstack.daemon.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.arbutusstack.testkit.process.SilentRelay;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests established connections that permanently stop delivering data without being closed, while new connections work.
 * Guards against requests that are lost, or run more than twice, and against a host list that is no longer updated.
 */
public class SilentLinkTests {

    private static final int REQUESTS = 32;

    @DataProvider
    Object[][] tokens() {
        return new Object[][] {{"before-receipt", 20}, {"while-running", 100}};
    }

    @Test(dataProvider = "tokens")
    public void shouldFinishOverNewConnectionWhenLinkGoesSilent(String moment, int tokens) {
        try (RequestCluster run = new RequestCluster("silent-" + moment, 1, 1, EngineShape.SMALL, Map.of());
                SilentRelay relay = new SilentRelay(run.sides.get(0).port("link-port"))) {
            run.cluster.hostRow("lm-1").put("linkPort", relay.port());
            run.awaitReady();
            boolean running = moment.equals("while-running");
            if (!running) {
                relay.stallOpenConnections();
            }
            run.load.sendMany(run.entries, REQUESTS, tokens);
            if (running) {
                assertTrue(ProcessCluster.awaitTrue(
                        5,
                        () -> run.cluster
                                        .state(run.entries.get(0))
                                        .path("requestsInHand")
                                        .asInt()
                                == REQUESTS));
                assertTrue(ProcessCluster.awaitTrue(2, () -> run.load.receivedBytes() > 0));
                relay.stallOpenConnections();
            }
            assertTrue(run.load.awaitAll());
            Map<CallerOutcome, Integer> counts = run.load.counts();
            System.out.println("silent " + moment + ": " + counts);
            assertEquals(counts.get(CallerOutcome.WHOLE), REQUESTS, counts.toString());
            List<CompletionCall> calls = run.load.calls(CallerOutcome.WHOLE);
            int maxExecutions = calls.stream()
                    .mapToInt(call -> run.executions(call.requestId()))
                    .max()
                    .orElse(0);
            assertTrue(maxExecutions <= 2, "a request ran " + maxExecutions + " times over two links");
        }
    }

    @Test
    public void shouldSeeNewHostsWhenConnectionToHostListGoesSilent() {
        try (RequestCluster run = new RequestCluster("silent-hosts", 0, 2, EngineShape.SMALL, Map.of());
                SilentRelay relay = new SilentRelay(run.cluster.hostListPort())) {
            Map<String, String> flags = new HashMap<>(Map.of("host-list", "127.0.0.1:" + relay.port()));
            run.entries.add(run.cluster.startEntry("entry-1", "regina", flags));
            run.awaitReady();
            relay.stallOpenConnections();
            run.cluster.hostRow("lm-1").put("status", "LEAVING");
            run.cluster.publishHosts();
            assertTrue(ProcessCluster.awaitTrue(4, () -> run.countReadyRunners(run.entries.get(0)) == 1));
        }
    }
}
