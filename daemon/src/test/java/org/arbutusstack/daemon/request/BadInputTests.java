package org.arbutusstack.daemon.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests invalid requests from callers, malformed frames from peers and callers that disconnect. Each invalid request
 * has to be refused with its reason, and a valid request running at the same time has to complete.
 */
public class BadInputTests {

    private static final String VALID_BODY = "{\"model\":\"boot-design\",\"messages\":[{\"content\":\"hi\"}]}";

    private RequestCluster run;

    private DaemonProcess entry;

    @BeforeClass
    public void start() {
        run = new RequestCluster("bad-input", 1, 1, EngineShape.SMALL, Map.of("longest-body-bytes", "4096"))
                .awaitReady();
        entry = run.entries.get(0);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        run.close();
    }

    @DataProvider
    Object[][] inputs() {
        Map<String, String> none = Map.of();
        return new Object[][] {
            {"no JSON", "POST", "/v1/chat/completions", none, "{\"model\":", 400, "malformed"},
            {"empty body", "POST", "/v1/chat/completions", none, "", 400, "malformed"},
            {"an array", "POST", "/v1/chat/completions", none, "[]", 400, "malformed"},
            {"no messages", "POST", "/v1/chat/completions", none, "{\"model\":\"boot-design\"}", 400, "malformed"},
            {"wrong type", "POST", "/v1/chat/completions", none, "{\"model\":7,\"messages\":{}}", 400, "malformed"},
            {
                "unknown model",
                "POST",
                "/v1/chat/completions",
                none,
                VALID_BODY.replace("boot", "cap"),
                404,
                "unknown_target"
            },
            {"no model", "POST", "/v1/chat/completions", none, "{\"messages\":[]}", 404, "unknown_target"},
            {"unknown path", "GET", "/v2/things", none, "", 404, "unknown_target"},
            {"unknown service", "POST", "/services/none/x", none, "", 404, "unknown_target"},
            {"service is an engine", "POST", "/services/stitch-lm/x", none, "", 404, "unknown_target"},
            {
                "bad deadline",
                "POST",
                "/v1/chat/completions",
                Map.of("X-Deadline-Millis", "soon"),
                VALID_BODY,
                400,
                "malformed"
            },
            {
                "deadline too long",
                "POST",
                "/v1/chat/completions",
                Map.of("X-Deadline-Millis", "999999999"),
                VALID_BODY,
                400,
                "malformed"
            },
            {
                "key too long",
                "POST",
                "/v1/chat/completions",
                Map.of("Idempotency-Key", "k".repeat(300)),
                VALID_BODY,
                400,
                "malformed"
            },
            {"missing key", "POST", "/services/orderdesk/orders", none, "{}", 400, "missing_header"},
            {"body too large", "POST", "/v1/chat/completions", none, "x".repeat(5_000), 413, "too_large"},
        };
    }

    @Test(dataProvider = "inputs")
    public void shouldRefuseWithReasonWhenInputIsBad(
            String name,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int status,
            String reason) {
        CompletionCall concurrent = run.load.send(entry, "beside " + name, 30, true);
        long refusalsBefore = refusals(reason);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        HttpReply reply = ProcessCluster.await(
                run.cluster.call(entry.port("caller-port"), new HttpCall(method, path, headers, bytes)));
        assertEquals(reply.status(), status, name + ": " + reply.text());
        assertEquals(Json.read(reply.body()).path("error").path("kind").asText(), "rejected", name);
        assertEquals(Json.read(reply.body()).path("error").path("reason").asText(), reason, name);
        assertEquals(refusals(reason), refusalsBefore + 1, name);
        assertTrue(ProcessCluster.awaitTrue(5, concurrent::isEnded));
        assertEquals(concurrent.outcome(), CallerOutcome.WHOLE, name);
    }

    private long refusals(String reason) {
        String text = ProcessCluster.await(run.cluster.call(entry.port("admin-port"), HttpCall.get("/metrics")))
                .text();
        for (String line : text.split("\n")) {
            if (line.startsWith("arbutus_entry_refusals_total") && line.contains("reason=\"" + reason + "\"")) {
                return (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return 0;
    }

    @DataProvider
    Object[][] junk() {
        return new Object[][] {
            {"unknown frame", ByteBuffer.allocate(5).putInt(1).put((byte) 99).array()},
            {
                "truncated frame",
                ByteBuffer.allocate(6).putInt(2).put((byte) 3).put((byte) 0xd9).array()
            },
            {"endless frame", ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array()},
            {"negative length", ByteBuffer.allocate(4).putInt(-1).array()},
            {"HTTP", "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)},
        };
    }

    @Test(dataProvider = "junk")
    public void shouldServeOnWhenPeerSendsJunk(String name, byte[] junk) throws IOException {
        CompletionCall concurrent = run.load.send(entry, "beside " + name, 60, false);
        for (DaemonProcess process : new DaemonProcess[] {run.sides.get(0), entry}) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), process.port("link-port"))) {
                socket.getOutputStream().write(junk);
                socket.getOutputStream().flush();
                ProcessCluster.awaitTrue(1, concurrent::isEnded);
            }
        }
        assertTrue(ProcessCluster.awaitTrue(5, concurrent::isEnded));
        assertEquals(concurrent.outcome(), CallerOutcome.WHOLE, name);
    }

    @Test(dataProvider = "streams")
    public void shouldFreeTheEngineWhenCallerGoesAway(boolean stream) throws IOException {
        String body = "{\"model\":\"boot-design\",\"stream\":" + stream
                + ",\"max_tokens\":3000,\"messages\":[{\"content\":\"long " + stream + "\"}]}";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.port("caller-port"))) {
            OutputStream output = socket.getOutputStream();
            output.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII));
            output.flush();
            assertTrue(ProcessCluster.awaitTrue(5, () -> countEngineRequests() == 1));
            InputStream input = socket.getInputStream();
            assertTrue(!stream || input.read() >= 0);
        }
        assertTrue(ProcessCluster.awaitTrue(3, () -> countEngineRequests() == 0), "the engine runs on");
        assertEquals(run.cluster.state(entry).path("requestsInHand").asInt(), 0);
    }

    @DataProvider
    Object[][] streams() {
        return new Object[][] {{true}, {false}};
    }

    private int countEngineRequests() {
        HttpReply reply =
                ProcessCluster.await(run.cluster.call(run.engines.get(0).port(), HttpCall.get("/load")));
        return Json.read(reply.body()).path("running").asInt();
    }
}
