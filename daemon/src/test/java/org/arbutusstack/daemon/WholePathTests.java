package org.arbutusstack.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.Test;

/** Tests that a completion passes through a real entry and side to the engine and returns the complete answer. */
public class WholePathTests {

    private static final String TICKET = "{\"number\":1,\"services\":[{\"name\":\"stitch-lm\",\"kind\":\"ENGINE\","
            + "\"idempotent\":true}],\"models\":[{\"name\":\"boot-design\",\"service\":\"stitch-lm\","
            + "\"version\":\"v1\",\"memoryMb\":100,\"minimumCopies\":1}]}";

    @Test
    public void shouldAnswerWholeWhenModelIsInForce() {
        try (ProcessCluster cluster = new ProcessCluster(new File("target/whole-path"))) {
            EngineStandIn engine = cluster.startEngine(EngineShape.SMALL, null);
            cluster.startSide("lm-1", "stitch-lm", "regina", engine.address(), Map.of());
            DaemonProcess entry = cluster.startEntry("entry-1", "regina", Map.of());
            cluster.publishHosts();
            assertTrue(cluster.awaitUp(entry, 30));
            assertEquals(cluster.submit(entry, TICKET).status(), 200);
            String body = "{\"model\":\"boot-design\",\"max_tokens\":5,\"messages\":[{\"content\":\"hello boots\"}]}";
            HttpReply reply = ProcessCluster.await(cluster.call(
                    entry.port("caller-port"),
                    HttpCall.post("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8))));
            assertEquals(reply.status(), 200);
            String text = Json.read(reply.body())
                    .path("choices")
                    .path(0)
                    .path("message")
                    .path("content")
                    .asText();
            assertEquals(text, EngineStandIn.expectedText("boot-design", "hello boots", 5));
        }
    }
}
