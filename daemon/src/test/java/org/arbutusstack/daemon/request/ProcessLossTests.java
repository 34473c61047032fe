package org.arbutusstack.daemon.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.util.Map;
import java.util.function.Consumer;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the responses that callers get when a process is lost with hundreds of requests in flight. Guards against
 * missing or wrong answers and against refusals that claim that a request did not run although it did.
 */
public class ProcessLossTests {

    private static final int REQUESTS = 300;

    @DataProvider
    Object[][] losses() {
        return new Object[][] {
            {"side", loss(run -> run.sides.get(0).kill())},
            {"engine", loss(ProcessLossTests::crashEngine)},
            {"entry", loss(run -> run.entries.get(0).kill())},
            {"every-side", loss(ProcessLossTests::killSides)},
        };
    }

    private static Consumer<RequestCluster> loss(Consumer<RequestCluster> loss) {
        return loss;
    }

    private static void killSides(RequestCluster run) {
        run.sides.forEach(DaemonProcess::kill);
        run.load.sendMany(run.entries, REQUESTS / 3, 40);
    }

    private static void crashEngine(RequestCluster run) {
        byte[] body = "{\"model\":\"boot-design\",\"messages\":[{\"content\":\"crash-the-engine\"}]}".getBytes();
        long deadlineNanos = System.nanoTime() + 1_000_000_000L;
        run.cluster
                .client()
                .call(
                        HttpTarget.parse(run.engines.get(0).address()),
                        HttpCall.post("/v1/chat/completions", body),
                        deadlineNanos);
    }

    @Test(dataProvider = "losses")
    public void shouldAnswerWholeOrTellTruthWhenProcessIsLost(String lost, Consumer<RequestCluster> loss) {
        try (RequestCluster run = new RequestCluster("loss-" + lost, 2, 3, EngineShape.SMALL, Map.of()).awaitReady()) {
            run.load.sendMany(run.entries, REQUESTS, 40);
            assertTrue(ProcessCluster.awaitTrue(5, () -> run.load.ended() > REQUESTS / 20));
            loss.accept(run);
            assertTrue(run.load.awaitAll());
            Map<CallerOutcome, Integer> counts = run.load.counts();
            System.out.println("loss of " + lost + ": " + counts);
            run.load.calls(CallerOutcome.WRONG).forEach(call -> fail("wrong: " + call.text()));
            assertEquals(counts.get(CallerOutcome.UNANSWERED), 0, counts.toString());
            if (!lost.equals("entry")) {
                assertEquals(counts.get(CallerOutcome.CONNECTION_LOST), 0, counts.toString());
            }
            run.load
                    .calls(CallerOutcome.NOT_RUN)
                    .forEach(call -> assertEquals(
                            run.executions(call.requestId()), 0, call.requestId() + " is said not to have run"));
            boolean sidesRemain = !lost.equals("every-side");
            assertTrue(!sidesRemain || counts.get(CallerOutcome.WHOLE) >= REQUESTS / 2, counts.toString());
            assertTrue(sidesRemain || counts.get(CallerOutcome.NOT_RUN) > 0, counts.toString());
            assertTrue(sidesRemain || counts.get(CallerOutcome.OUTCOME_UNKNOWN) > 0, counts.toString());
        }
    }
}
