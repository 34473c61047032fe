package org.arbutusstack.daemon.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests hosts that drain and rolling restarts under load. Guards against new requests on a draining host and against
 * requests that are cut off when a process stops.
 */
public class LeavingTests {

    private static final long SEND_PERIOD_MILLIS = 30;

    private static final int TOKENS = 60;

    private static final long MAX_NOTICE_MILLIS = 2_000;

    @DataProvider
    Object[][] leavings() {
        return new Object[][] {
            {
                "host-list",
                leave(run -> {
                    run.cluster.hostRow("lm-1").put("status", "LEAVING");
                    run.cluster.publishHosts();
                })
            },
            {
                "unlisted",
                leave(run -> {
                    run.cluster.hostRow("lm-1").put("role", "ENTRY");
                    run.cluster.publishHosts();
                })
            },
            {"sigterm", leave(run -> run.sides.get(0).terminate())},
        };
    }

    private static Consumer<RequestCluster> leave(Consumer<RequestCluster> leaving) {
        return leaving;
    }

    @Test(dataProvider = "leavings")
    public void shouldGetNoNewWorkAndFinishTheOldWhenHostLeaves(String way, Consumer<RequestCluster> leaving) {
        try (RequestCluster run = new RequestCluster("leaving-" + way, 1, 2, EngineShape.SMALL, Map.of()).awaitReady();
                SteadyCallers callers = new SteadyCallers(run.load, run.entries, SEND_PERIOD_MILLIS, TOKENS)) {
            awaitCalls(run, 30);
            long drainStartNanos = System.nanoTime();
            leaving.accept(run);
            ProcessCluster.awaitTrue(3, () -> false);
            callers.close();
            assertTrue(run.load.awaitAll());
            Map<CallerOutcome, Integer> counts = run.load.counts();
            System.out.println("leaving " + way + ": " + counts);
            List<CompletionCall> whole = run.load.calls(CallerOutcome.WHOLE);
            assertEquals(whole.size(), run.load.ended(), counts.toString());
            long late = whole.stream()
                    .filter(call -> call.runner().equals("lm-1"))
                    .filter(call ->
                            call.sentNanos() - drainStartNanos > TimeUnit.MILLISECONDS.toNanos(MAX_NOTICE_MILLIS))
                    .count();
            assertEquals(late, 0, "requests went to a host two seconds after it left");
        }
    }

    @Test
    public void shouldCutOffNothingWhenEveryProcessIsRestarted() {
        Map<String, String> flags = Map.of("drain-notice-millis", "1000");
        try (RequestCluster run = new RequestCluster("rolling", 2, 2, EngineShape.SMALL, flags).awaitReady();
                SteadyCallers callers = new SteadyCallers(run.load, run.entries, SEND_PERIOD_MILLIS, TOKENS)) {
            awaitCalls(run, 30);
            List<DaemonProcess> all = new ArrayList<>(run.sides);
            all.addAll(run.entries);
            for (DaemonProcess process : all) {
                process.terminate();
                assertTrue(process.await(20), process.name() + " did not stop");
                process.start();
                assertTrue(ProcessCluster.awaitTrue(
                        15, () -> run.entries.stream().allMatch(entry -> run.countReadyRunners(entry) == 2)));
            }
            awaitCalls(run, run.load.ended() + 30);
            callers.close();
            assertTrue(run.load.awaitAll());
            Map<CallerOutcome, Integer> counts = run.load.counts();
            System.out.println("rolling restart: " + counts);
            assertEquals(run.load.calls(CallerOutcome.WHOLE).size(), run.load.ended(), counts.toString());
        }
    }

    private static void awaitCalls(RequestCluster run, long count) {
        assertTrue(ProcessCluster.awaitTrue(10, () -> run.load.ended() >= count));
    }
}
