package org.arbutusstack.daemon.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.arbutusstack.testkit.weights.WeightStoreSpeed;
import org.arbutusstack.testkit.weights.WeightStoreStandIn;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests with real processes that every model stays reachable while its version changes, and becomes reachable again
 * after a runner is killed. Loading a model takes longer than a request's deadline, so that a copy that is unloaded
 * too early makes a request fail.
 */
public class ReachabilityTests {

    private static final int MODELS = 4;

    private static final WeightStoreSpeed LOADS_SLOWER_THAN_DEADLINE = new WeightStoreSpeed(2_500, 4, 40, 30);

    private static final long CHANGE_SECONDS = 5;

    private static final long RECOVERY_SECONDS = 15;

    private final List<EngineStandIn> engines = new ArrayList<>();

    private final List<DaemonProcess> sides = new ArrayList<>();

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{"checks fencing numbers", true}, {"ignores fencing numbers", false}};
    }

    private static String ticket(int number, String version) {
        StringBuilder models = new StringBuilder();
        for (int index = 0; index < MODELS; index++) {
            models.append(index == 0 ? "" : ",")
                    .append("{\"name\":\"m" + index + "\",\"service\":\"lm\",\"version\":\"" + version
                            + "\",\"memoryMb\":200,\"minimumCopies\":1}");
        }
        String service = "{\"name\":\"lm\",\"kind\":\"ENGINE\",\"idempotent\":true}";
        return "{\"number\":" + number + ",\"services\":[" + service + "],\"models\":[" + models + "]}";
    }

    private static int sendCompletion(ProcessCluster cluster, DaemonProcess entry, int model) {
        String body = "{\"model\":\"m" + model + "\",\"max_tokens\":2,\"messages\":[{\"content\":\"hello\"}]}";
        Map<String, String> headers = Map.of("Content-Type", "application/json", "X-Deadline-Millis", "1500");
        HttpCall call = new HttpCall("POST", "/v1/chat/completions", headers, body.getBytes(StandardCharsets.UTF_8));
        HttpReply reply = ProcessCluster.await(cluster.call(entry.port("caller-port"), call));
        return reply.status();
    }

    private void startSides(ProcessCluster cluster, boolean checksFence, HttpTarget weightStore) {
        engines.clear();
        sides.clear();
        EngineShape shape = EngineShape.SMALL.withMemoryMb(1_000).withFenceCheck(checksFence);
        String fenceFlag = (checksFence ? "" : "no-") + "engine-checks-fence";
        Map<String, String> flags = Map.of(fenceFlag, "", "order-delay-limit-millis", "500");
        for (int index = 0; index < 3; index++) {
            EngineStandIn engine = cluster.startEngine(shape, weightStore);
            engines.add(engine);
            String zone = index % 2 == 0 ? "regina" : "brandon";
            sides.add(cluster.startSide("lm-" + index, "lm", zone, engine.address(), flags));
        }
    }

    @Test(dataProvider = "engines")
    public void shouldAnswerAlwaysWhenVersionsChangeAndComeBackWhenRunnerDies(String name, boolean checksFence) {
        WeightStoreStandIn weights = new WeightStoreStandIn(0, LOADS_SLOWER_THAN_DEADLINE);
        weights.start();
        try (weights;
                ProcessCluster cluster = new ProcessCluster(new File("target/reachability-" + checksFence))) {
            startSides(cluster, checksFence, HttpTarget.parse(weights.address()));
            DaemonProcess entry = cluster.startEntry("entry-1", "regina", Map.of());
            cluster.publishHosts();
            assertTrue(cluster.awaitUp(entry, 30));
            assertEquals(cluster.submit(entry, ticket(1, "v1")).status(), 200);
            for (int model = 0; model < MODELS; model++) {
                int each = model;
                assertTrue(ProcessCluster.awaitTrue(30, () -> sendCompletion(cluster, entry, each) == 200), "m" + each);
            }
            assertEquals(cluster.submit(entry, ticket(2, "v2")).status(), 200);
            long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CHANGE_SECONDS);
            for (int sent = 0; System.nanoTime() - untilNanos < 0; sent++) {
                assertEquals(sendCompletion(cluster, entry, sent % MODELS), 200, "request " + sent);
            }
            assertTrue(
                    ProcessCluster.awaitTrue(RECOVERY_SECONDS, () -> allCopiesHaveVersion(cluster, "v2")), "versions");
            sides.get(0).kill();
            for (int model = 0; model < MODELS; model++) {
                int each = model;
                boolean recovered =
                        ProcessCluster.awaitTrue(RECOVERY_SECONDS, () -> sendCompletion(cluster, entry, each) == 200);
                assertTrue(recovered, "m" + each);
            }
            engines.forEach(engine -> assertEquals(engine.memoryViolations(), 0));
        }
    }

    private boolean allCopiesHaveVersion(ProcessCluster cluster, String version) {
        int copies = 0;
        for (DaemonProcess side : sides) {
            for (var key : cluster.state(side).path("report").path("models")) {
                if (!key.asText().endsWith("@" + version)) {
                    return false;
                }
                copies++;
            }
        }
        return copies >= MODELS;
    }

    @Test
    public void shouldRefuseTicketAndWriteNothingWhenModelsDoNotFit() {
        try (ProcessCluster cluster = new ProcessCluster(new File("target/packing"))) {
            startSides(cluster, true, null);
            DaemonProcess entry = cluster.startEntry("entry-1", "regina", Map.of());
            cluster.publishHosts();
            assertTrue(cluster.awaitUp(entry, 30));
            assertEquals(cluster.submit(entry, ticket(1, "v1")).status(), 200);
            assertTrue(ProcessCluster.awaitTrue(30, () -> sendCompletion(cluster, entry, 0) == 200));
            String large = ticket(2, "v2").replace("\"memoryMb\":200", "\"memoryMb\":900");
            HttpReply refused = cluster.submit(entry, large);
            assertEquals(refused.status() / 100, 4, refused.text());
            assertTrue(refused.text().contains("no packing found"), refused.text());
            assertEquals(cluster.state(entry).path("sequence").asLong(), 1);
        }
    }
}
