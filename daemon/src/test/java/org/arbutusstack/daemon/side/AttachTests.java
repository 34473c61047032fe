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
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.arbutusstack.testkit.process.SilentRelay;
import org.testng.annotations.Test;

/**
 * Tests with real processes that a running call gets its answer over a new link after the old link has stopped
 * delivering data, and that the call runs only once.
 */
public class AttachTests {

    private static final String TICKET =
            "{\"number\":1,\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":false}]}";

    private static final int CALLS = 20;

    @Test
    public void shouldAnswerRunningCallsOverNewLinkWhenLinkGoesSilent() {
        try (ProcessCluster cluster = new ProcessCluster(new File("target/attach"))) {
            PlainServiceStandIn service = cluster.startPlainService();
            DaemonProcess side = cluster.startSide("order-1", "orderdesk", "regina", service.address(), Map.of());
            DaemonProcess entry = cluster.startEntry("entry-1", "regina", Map.of());
            try (SilentRelay relay = new SilentRelay(side.port("link-port"))) {
                cluster.hostRow("order-1").put("linkPort", relay.port());
                cluster.publishHosts();
                assertTrue(cluster.awaitUp(entry, 30));
                assertEquals(cluster.submit(entry, TICKET).status(), 200);
                assertTrue(ProcessCluster.awaitTrue(
                        10, () -> cluster.state(side).path("sequence").asLong() == 1));
                byte[] slow = "{\"delay_millis\":5000}".getBytes(StandardCharsets.UTF_8);
                int port = Integer.parseInt(service.address().split(":")[1]);
                ProcessCluster.await(cluster.call(port, HttpCall.post("/fault", slow)));
                List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
                for (int number = 0; number < CALLS; number++) {
                    Map<String, String> headers =
                            Map.of("Idempotency-Key", "key-" + number, "X-Deadline-Millis", "12000");
                    HttpCall call = new HttpCall("POST", "/services/orderdesk/confirm", headers, new byte[0]);
                    replies.add(cluster.call(entry.port("caller-port"), call));
                }
                assertTrue(ProcessCluster.awaitTrue(4, () -> service.executions("key-" + (CALLS - 1)) == 1));
                relay.stallOpenConnections();
                for (int number = 0; number < CALLS; number++) {
                    HttpReply reply = ProcessCluster.await(replies.get(number));
                    assertEquals(reply.status(), 200, reply.text());
                    assertTrue(reply.text().contains("\"key-" + number + "\""), reply.text());
                    assertEquals(service.executions("key-" + number), 1);
                }
            }
        }
    }
}
