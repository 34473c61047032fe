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
import org.arbutusstack.testkit.process.SilentRelay;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests with real processes that every answer is complete when a side stops gracefully or when its connections to the
 * engine stop delivering data.
 */
public class SideStopTests {

    private static final String MODEL = "boot-design";

    private static final String TICKET = "{\"number\":1,\"services\":[{\"name\":\"stitch-lm\",\"kind\":\"ENGINE\","
            + "\"idempotent\":true}],\"models\":[{\"name\":\"boot-design\",\"service\":\"stitch-lm\","
            + "\"version\":\"v1\",\"memoryMb\":100,\"minimumCopies\":2}]}";

    private static final int TOKENS = 150;

    private ProcessCluster cluster;

    private final List<SilentRelay> relays = new ArrayList<>();

    private final List<EngineStandIn> engines = new ArrayList<>();

    private DaemonProcess entry;

    @BeforeMethod
    public void startCluster() {
        cluster = new ProcessCluster(new File("target/side-stop"));
        engines.clear();
        for (String side : List.of("lm-1", "lm-2")) {
            EngineStandIn engine = cluster.startEngine(EngineShape.SMALL, null);
            SilentRelay relay =
                    new SilentRelay(Integer.parseInt(engine.address().split(":")[1]));
            engines.add(engine);
            relays.add(relay);
            Map<String, String> flags = Map.of("stream-silence-millis", "700", "answer-silence-millis", "3000");
            cluster.startSide(side, "stitch-lm", "regina", "127.0.0.1:" + relay.port(), flags);
        }
        entry = cluster.startEntry("entry-1", "regina", Map.of());
        cluster.publishHosts();
        assertTrue(cluster.awaitUp(entry, 30));
        assertEquals(cluster.submit(entry, TICKET).status(), 200);
        assertTrue(ProcessCluster.awaitTrue(20, () -> countReadySides() == 2));
    }

    private int countReadySides() {
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
        relays.forEach(SilentRelay::close);
        relays.clear();
    }

    private CompletableFuture<HttpReply> complete(String prompt, boolean stream) {
        String body = "{\"model\":\"" + MODEL + "\",\"max_tokens\":" + TOKENS + ",\"stream\":" + stream
                + ",\"messages\":[{\"content\":\"" + prompt + "\"}]}";
        HttpCall call = HttpCall.post("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8));
        return cluster.call(entry.port("caller-port"), call);
    }

    private static String textOf(HttpReply reply, boolean stream) {
        assertEquals(reply.status(), 200, reply.text());
        if (!stream) {
            return Json.read(reply.body())
                    .path("choices")
                    .path(0)
                    .path("message")
                    .path("content")
                    .asText();
        }
        StringBuilder text = new StringBuilder();
        for (String event : reply.text().split("\n\n")) {
            String data = event.substring(event.indexOf(' ') + 1);
            if (!data.equals("[DONE]")) {
                byte[] json = data.getBytes(StandardCharsets.UTF_8);
                text.append(Json.read(json)
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText());
            }
        }
        return text.toString();
    }

    private static void assertWhole(List<CompletableFuture<HttpReply>> replies) {
        for (int number = 0; number < replies.size(); number++) {
            String text = textOf(ProcessCluster.await(replies.get(number)), number % 2 == 0);
            assertEquals(text, EngineStandIn.expectedText(MODEL, "prompt " + number, TOKENS));
        }
    }

    @Test
    public void shouldFinishWorkInProgressAndExitWithZeroWhenToldToEnd() {
        List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            replies.add(complete("prompt " + number, number % 2 == 0));
        }
        DaemonProcess side = cluster.processes().get("lm-1");
        assertTrue(ProcessCluster.awaitTrue(
                5, () -> cluster.state(side).path("report").path("running").asInt() > 5));
        side.terminate();
        assertTrue(ProcessCluster.awaitTrue(2, () -> countReadySides() == 1));
        for (int number = 40; number < 60; number++) {
            replies.add(complete("prompt " + number, number % 2 == 0));
        }
        assertWhole(replies);
        assertTrue(side.await(5));
        assertEquals(side.exitCode(), 0);
        int maxCrashes = 0;
        for (EngineStandIn engine : engines) {
            maxCrashes = Math.max(maxCrashes, engine.crashes());
        }
        assertEquals(maxCrashes, 0);
    }

    @Test
    public void shouldAnswerWholeWhenConnectionsToEngineGoSilent() {
        List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            replies.add(complete("prompt " + number, number % 2 == 0));
        }
        DaemonProcess side = cluster.processes().get("lm-1");
        assertTrue(ProcessCluster.awaitTrue(
                5, () -> cluster.state(side).path("report").path("running").asInt() > 2));
        relays.get(0).stallOpenConnections();
        assertWhole(replies);
    }
}
