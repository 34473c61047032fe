package org.arbutusstack.daemon.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests with real processes that a request that crashes its engine is quarantined after at most two engine crashes.
 * Guards against such a request crashing one engine after the other, and against losing the other requests that ran on
 * a crashed engine.
 */
public class EngineCrashTests {

    private static final String MODEL = "boot-design";

    private static final String TICKET = "{\"number\":1,\"services\":[{\"name\":\"stitch-lm\",\"kind\":\"ENGINE\","
            + "\"idempotent\":true}],\"models\":[{\"name\":\"boot-design\",\"service\":\"stitch-lm\","
            + "\"version\":\"v1\",\"memoryMb\":100,\"minimumCopies\":3}]}";

    private static final String CRASHING_PROMPT = "please crash-the-engine now";

    private static final int TOKENS = 250;

    private static final int HARMFUL_REQUESTS = 8;

    /** The crashes after which the users count each further harmful request. */
    private static final int MAX_CRASHES = 5;

    private ProcessCluster cluster;

    private final List<EngineStandIn> engines = new ArrayList<>();

    private DaemonProcess first;

    private DaemonProcess second;

    @BeforeMethod
    public void startCluster() {
        cluster = new ProcessCluster(new File("target/engine-crash"));
        engines.clear();
        for (String side : List.of("lm-1", "lm-2", "lm-3")) {
            EngineStandIn engine = cluster.startEngine(EngineShape.SMALL, null);
            engines.add(engine);
            cluster.startSide(side, "stitch-lm", "regina", engine.address(), Map.of());
        }
        first = cluster.startEntry("entry-1", "regina", Map.of());
        second = cluster.startEntry("entry-2", "regina", Map.of());
        cluster.publishHosts();
        assertTrue(cluster.awaitUp(first, 30) && cluster.awaitUp(second, 30));
        assertEquals(cluster.submit(first, TICKET).status(), 200);
        assertTrue(ProcessCluster.awaitTrue(20, () -> countReadySides(first) == 3 && countReadySides(second) == 3));
    }

    private int countReadySides(DaemonProcess entry) {
        int ready = 0;
        for (var runner : cluster.state(entry).path("runners")) {
            ready += runner.path("takesWork").asBoolean()
                            && runner.path("models").size() > 0
                    ? 1
                    : 0;
        }
        return ready;
    }

    @AfterMethod
    public void stopCluster() {
        cluster.close();
    }

    private CompletableFuture<HttpReply> complete(DaemonProcess entry, String... messages) {
        String body = "{\"model\":\"" + MODEL + "\",\"max_tokens\":" + TOKENS + ",\"messages\":[{\"content\":\""
                + String.join("\"},{\"content\":\"", messages) + "\"}]}";
        HttpCall call = HttpCall.post("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8));
        return cluster.call(entry.port("caller-port"), call);
    }

    private int countCrashes() {
        return engines.stream().mapToInt(EngineStandIn::crashes).sum();
    }

    private static String reasonOf(HttpReply reply) {
        return reply.status() == 200
                ? "answered"
                : Json.read(reply.body()).path("error").path("reason").asText();
    }

    @DataProvider
    Object[][] innocents() {
        return new Object[][] {{0}, {24}};
    }

    @Test(dataProvider = "innocents")
    public void shouldLoseAtMostTwoEnginesAndNoInnocentWhenRequestCrashesEngines(int count) {
        List<CompletableFuture<HttpReply>> otherReplies = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            otherReplies.add(complete(number % 2 == 0 ? first : second, "innocent " + number));
        }
        assertTrue(ProcessCluster.awaitTrue(3, () -> count == 0 || countRunningSides() == engines.size()));
        HttpReply reply = ProcessCluster.await(complete(first, CRASHING_PROMPT));
        for (int round = 0; round < 3; round++) {
            ProcessCluster.await(complete(second, CRASHING_PROMPT));
            reply = ProcessCluster.await(complete(first, CRASHING_PROMPT));
            assertTrue(ProcessCluster.awaitTrue(10, () -> countReadySides(first) == 3 && countReadySides(second) == 3));
        }
        assertTrue(countCrashes() <= 2, "crashes " + countCrashes());
        assertEquals(reasonOf(reply), "quarantined");
        for (int number = 0; number < count; number++) {
            HttpReply otherReply = ProcessCluster.await(otherReplies.get(number));
            assertEquals(otherReply.status(), 200, otherReply.text());
            String text = Json.read(otherReply.body())
                    .path("choices")
                    .path(0)
                    .path("message")
                    .path("content")
                    .asText();
            assertEquals(text, EngineStandIn.expectedText(MODEL, "innocent " + number, TOKENS));
        }
        assertTrue(countCrashes() <= 2, "crashes " + countCrashes());
        assertTrue(ProcessCluster.awaitTrue(10, () -> countReadySides(second) == 3));
        assertEquals(reasonOf(ProcessCluster.await(complete(second, "innocent again"))), "answered");
    }

    /** Guards against requests of which no two are alike crashing engine after engine by a message that they share. */
    @Test
    public void shouldStopLosingEnginesWhenDifferentRequestsShareHarmfulMessage() {
        String lastReason = "";
        for (int number = 0; number < HARMFUL_REQUESTS; number++) {
            DaemonProcess entry = number % 2 == 0 ? first : second;
            DaemonProcess other = number % 2 == 0 ? second : first;
            String question = "question " + number;
            lastReason = reasonOf(ProcessCluster.await(complete(entry, "policy", CRASHING_PROMPT, question)));
            assertTrue(ProcessCluster.awaitTrue(10, () -> countReadySides(first) == 3 && countReadySides(second) == 3));
            String sound = reasonOf(ProcessCluster.await(complete(other, "policy", question)));
            assertEquals(sound, "answered", "request " + number);
        }
        assertTrue(countCrashes() <= MAX_CRASHES, "crashes " + countCrashes());
        assertEquals(lastReason, "quarantined");
    }

    private int countRunningSides() {
        int count = 0;
        for (String side : List.of("lm-1", "lm-2", "lm-3")) {
            count += cluster.state(cluster.processes().get(side))
                                    .path("report")
                                    .path("running")
                                    .asInt()
                            > 0
                    ? 1
                    : 0;
        }
        return count;
    }
}
