package org.arbutusstack.daemon.request;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.Test;

/** Measures the latency that entry and side add to a direct call of the engine, and the processor time they use. */
public class PathLatencyTests {

    private static final int CALLS = 200;

    private static final int WARM_UP = 50;

    private static final int IN_FLIGHT = 64;

    private static final int PLAIN_REQUESTS = 1_000;

    private static final int STREAMS = 200;

    private static final int STREAM_TOKENS = 100;

    private static final double MAX_ADDED_MILLIS = 330;

    @Test
    public void shouldAddLittleWhenNothingWaits() {
        try (RequestCluster run = new RequestCluster("path", 1, 1, EngineShape.SMALL, Map.of()).awaitReady()) {
            double[] direct = new double[CALLS];
            double[] through = new double[CALLS];
            for (int index = -WARM_UP; index < CALLS; index++) {
                double directMillis = callMillis(run, run.engines.get(0).port(), "direct " + index);
                double throughMillis = callMillis(run, run.entries.get(0).port("caller-port"), "through " + index);
                if (index >= 0) {
                    direct[index] = directMillis;
                    through[index] = throughMillis;
                }
            }
            Arrays.sort(direct);
            Arrays.sort(through);
            System.out.printf(
                    "path latency: direct p50=%.2f p99=%.2f ms, through entry and side p50=%.2f p99=%.2f ms%n",
                    direct[CALLS / 2], direct[CALLS * 99 / 100], through[CALLS / 2], through[CALLS * 99 / 100]);
            assertTrue(through[CALLS * 99 / 100] - direct[CALLS / 2] < MAX_ADDED_MILLIS);
        }
    }

    @Test
    public void shouldServeOnLittleProcessorTimeWhenManyRequestsRun() {
        EngineShape shape = new EngineShape(80_000, 256, 5, 1, 512, 64, true, 1_000);
        try (RequestCluster run =
                new RequestCluster("cost", 1, 1, shape, Map.of("most-requests", "4096")).awaitReady()) {
            measureCost(run, "warm-up", 300, 10, false);
            measureCost(run, "plain", PLAIN_REQUESTS, 1, false);
            measureCost(run, "stream", STREAMS, STREAM_TOKENS, true);
            assertTrue(run.load.calls(CallerOutcome.WRONG).isEmpty());
            System.out.printf(
                    "path memory: entry most resident=%d MB, side=%d MB%n",
                    run.entries.get(0).peakResidentMb(), run.sides.get(0).peakResidentMb());
        }
    }

    private static void measureCost(RequestCluster run, String name, int requests, int tokens, boolean stream) {
        long entryMillis = run.entries.get(0).processorMillis();
        long sideMillis = run.sides.get(0).processorMillis();
        CallerLoad load = new CallerLoad(run.cluster.client());
        for (int sent = 0; sent < requests; sent++) {
            int sentBefore = sent;
            assertTrue(ProcessCluster.awaitTrue(10, () -> sentBefore - load.ended() < IN_FLIGHT));
            load.send(run.entries.get(0), name + sent, tokens, stream);
        }
        assertTrue(load.awaitAll());
        System.out.printf(
                "path cost, %s: whole=%d of %d, tokens each=%d, processor ms a request: entry=%.3f side=%.3f%n",
                name,
                load.calls(CallerOutcome.WHOLE).size(),
                requests,
                tokens,
                (run.entries.get(0).processorMillis() - entryMillis) / (double) requests,
                (run.sides.get(0).processorMillis() - sideMillis) / (double) requests);
    }

    private static double callMillis(RequestCluster run, int port, String prompt) {
        String body = "{\"model\":\"boot-design\",\"max_tokens\":1,\"messages\":[{\"content\":\"" + prompt + "\"}]}";
        HttpCall call = HttpCall.post("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8));
        long startNanos = System.nanoTime();
        assertTrue(ProcessCluster.await(run.cluster.call(port, call)).isSuccess());
        return (System.nanoTime() - startNanos) / 1e6;
    }
}
