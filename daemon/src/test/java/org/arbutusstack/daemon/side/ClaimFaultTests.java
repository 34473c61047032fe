package org.arbutusstack.daemon.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.model.request.ClaimKey;
import org.arbutusstack.routing.ClaimOwnerSelector;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.kv.KeyValueFault;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.arbutusstack.testkit.process.SilentRelay;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests with real processes that non-idempotent calls run at most once and that each response states the actual
 * outcome. The faults are duplicate calls, late answers, outages of the key-value service, and sides that are killed or
 * paused around the claim.
 */
public class ClaimFaultTests {

    private static final String TICKET =
            "{\"number\":1,\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":false}]}";

    private static final List<String> SIDES = List.of("order-1", "order-2");

    private final ProcessCluster cluster = new ProcessCluster(new File("target/claim-faults"));

    private PlainServiceStandIn service;

    private SilentRelay relay;

    private DaemonProcess first;

    private DaemonProcess second;

    private int nextKey;

    @BeforeClass
    public void startCluster() {
        service = cluster.startPlainService();
        relay = new SilentRelay(Integer.parseInt(service.address().split(":")[1]));
        SIDES.forEach(side -> cluster.startSide(side, "orderdesk", "regina", "127.0.0.1:" + relay.port(), Map.of()));
        first = cluster.startEntry("entry-1", "regina", Map.of());
        second = cluster.startEntry("entry-2", "regina", Map.of());
        cluster.publishHosts();
        assertTrue(cluster.awaitUp(first, 30) && cluster.awaitUp(second, 30));
        assertEquals(cluster.submit(first, TICKET).status(), 200);
        awaitServing();
    }

    private void awaitServing() {
        assertTrue(ProcessCluster.awaitTrue(20, () -> seesBothSides(first) && seesBothSides(second)));
    }

    private boolean seesBothSides(DaemonProcess entry) {
        int count = 0;
        for (var runner : cluster.state(entry).path("runners")) {
            count += runner.path("takesWork").asBoolean()
                            && runner.path("sequence").asLong() > 0
                    ? 1
                    : 0;
        }
        return count == SIDES.size();
    }

    @BeforeMethod
    public void awaitBothSides() {
        awaitServing();
    }

    @AfterMethod
    public void clearFaults() {
        cluster.store().fault(KeyValueFault.NONE);
        cluster.store().delay(0);
        relay.cut(false);
        delayService(0);
    }

    @AfterClass
    public void stopCluster() {
        cluster.close();
        relay.close();
    }

    private void delayService(long millis) {
        byte[] body = ("{\"delay_millis\":" + millis + "}").getBytes(StandardCharsets.UTF_8);
        int port = Integer.parseInt(service.address().split(":")[1]);
        ProcessCluster.await(cluster.call(port, HttpCall.post("/fault", body)));
    }

    private String key() {
        return "order-key-" + nextKey++;
    }

    /** Return a new key whose claim bucket is owned by the given side. */
    private String keyOf(String side) {
        List<RunnerView> views = SIDES.stream()
                .map(name -> new RunnerView(name, "orderdesk", "regina", Set.of(), Set.of(), 0, 0))
                .toList();
        while (true) {
            String key = key();
            RunnerView owner = new ClaimOwnerSelector()
                    .select(new ClaimKey("orderdesk", key), 0, views)
                    .orElseThrow();
            if (owner.name().equals(side)) {
                return key;
            }
        }
    }

    private CompletableFuture<HttpReply> order(DaemonProcess entry, String key, long deadlineMillis, String content) {
        Map<String, String> headers =
                Map.of("Idempotency-Key", key, "X-Deadline-Millis", Long.toString(deadlineMillis));
        HttpCall call =
                new HttpCall("POST", "/services/orderdesk/confirm", headers, content.getBytes(StandardCharsets.UTF_8));
        return cluster.call(entry.port("caller-port"), call);
    }

    private HttpReply orderNow(DaemonProcess entry, String key) {
        return ProcessCluster.await(order(entry, key, 5_000, "{}"));
    }

    private static String kindOf(HttpReply reply) {
        return reply.status() == 200
                ? "answered"
                : Json.read(reply.body()).path("error").path("kind").asText();
    }

    @Test
    public void shouldGiveRecordedAnswerWhenResentToAnotherEntry() {
        String key = key();
        HttpReply one = orderNow(first, key);
        HttpReply two = orderNow(second, key);
        assertEquals(kindOf(one), "answered");
        assertEquals(two.text(), one.text());
        assertEquals(service.executions(key), 1);
        HttpReply other = ProcessCluster.await(order(second, key, 5_000, "{\"pairs\":2}"));
        assertEquals(kindOf(other), "rejected");
        assertEquals(service.executions(key), 1);
    }

    @Test
    public void shouldRunOnceWhenDoubledAtOnceOnTwoEntries() {
        List<String> keys = new ArrayList<>();
        List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            String key = key();
            keys.add(key);
            replies.add(order(first, key, 5_000, "{}"));
            replies.add(order(second, key, 5_000, "{}"));
        }
        for (int number = 0; number < keys.size(); number++) {
            String one = kindOf(ProcessCluster.await(replies.get(2 * number)));
            String two = kindOf(ProcessCluster.await(replies.get(2 * number + 1)));
            assertEquals(service.executions(keys.get(number)), 1);
            assertTrue(one.equals("answered") || two.equals("answered"), one + ", " + two);
            assertTrue(!one.equals("not_run") && !two.equals("not_run"), one + ", " + two);
        }
    }

    @Test
    public void shouldSayOutcomeUnknownWhenAnswerIsLate() {
        String key = key();
        delayService(2_000);
        assertEquals(kindOf(ProcessCluster.await(order(first, key, 600, "{}"))), "outcome_unknown");
        delayService(0);
        assertEquals(kindOf(orderNow(second, key)), "outcome_unknown");
        assertEquals(service.executions(key), 1);
    }

    @DataProvider
    Object[][] outages() {
        return new Object[][] {{KeyValueFault.REFUSE}, {KeyValueFault.HANG}};
    }

    @Test(dataProvider = "outages")
    public void shouldSayNotRunWhenKeyValueServiceIsDown(KeyValueFault outage) {
        String key = key();
        cluster.store().fault(outage);
        assertEquals(kindOf(ProcessCluster.await(order(first, key, 9_000, "{}"))), "not_run");
        assertEquals(service.executions(key), 0);
        cluster.store().fault(KeyValueFault.NONE);
        assertTrue(
                ProcessCluster.awaitTrue(5, () -> kindOf(orderNow(second, key)).equals("answered")));
        assertEquals(service.executions(key), 1);
    }

    @Test
    public void shouldRunOnceWhenAnswerOfKeyValueServiceIsLost() {
        String key = key();
        cluster.store().loseNextAnswers(1);
        HttpReply one = orderNow(first, key);
        assertEquals(kindOf(one), "answered");
        assertEquals(orderNow(second, key).text(), one.text());
        assertEquals(service.executions(key), 1);
    }

    @Test
    public void shouldNotSendWhenClaimIsGrantedAfterDeadline() {
        String key = keyOf("order-1");
        cluster.store().delay(700);
        assertTrue(!kindOf(ProcessCluster.await(order(first, key, 500, "{}"))).equals("answered"));
        cluster.store().delay(0);
        assertTrue(
                ProcessCluster.awaitTrue(5, () -> kindOf(orderNow(second, key)).equals("answered")));
        assertEquals(service.executions(key), 1);
    }

    @Test
    public void shouldRunAtMostOnceWhenSideIsKilledBetweenClaimAndSend() {
        String key = keyOf("order-2");
        relay.cut(true);
        long writes = cluster.store().writeCount();
        CompletableFuture<HttpReply> reply = order(first, key, 5_000, "{}");
        assertTrue(ProcessCluster.awaitTrue(3, () -> cluster.store().writeCount() > writes));
        killAndExpectOutcomeUnknown(runningSide(), key, reply, 0);
    }

    @Test
    public void shouldRunAtMostOnceWhenSideIsKilledBetweenSendAndRecord() {
        String key = keyOf("order-1");
        delayService(4_000);
        CompletableFuture<HttpReply> reply = order(first, key, 5_000, "{}");
        assertTrue(ProcessCluster.awaitTrue(3, () -> service.executions(key) == 1));
        killAndExpectOutcomeUnknown(runningSide(), key, reply, 1);
    }

    /** Wait until exactly one side has a running call and return its name. */
    private String runningSide() {
        List<String> found = new ArrayList<>();
        assertTrue(ProcessCluster.awaitTrue(2, () -> {
            found.clear();
            SIDES.stream()
                    .filter(side -> cluster.state(cluster.processes().get(side))
                                    .path("report")
                                    .path("running")
                                    .asInt()
                            > 0)
                    .forEach(found::add);
            return found.size() == 1;
        }));
        return found.get(0);
    }

    private void killAndExpectOutcomeUnknown(
            String side, String key, CompletableFuture<HttpReply> reply, int executions) {
        DaemonProcess process = cluster.processes().get(side);
        process.kill();
        relay.cut(false);
        delayService(0);
        assertEquals(kindOf(ProcessCluster.await(reply)), "outcome_unknown");
        assertEquals(kindOf(orderNow(second, key)), "outcome_unknown");
        assertEquals(service.executions(key), executions);
        process.start();
        awaitServing();
    }

    /** The owner is paused while its claim is being committed and resumes after the deadline has passed. */
    @Test
    public void shouldNeverSendWhenOwnerIsPausedBetweenClaimAndSend() {
        String key = keyOf("order-1");
        DaemonProcess owner = cluster.processes().get("order-1");
        cluster.store().delay(400);
        long writes = cluster.store().writeCount();
        CompletableFuture<HttpReply> one = order(first, key, 2_000, "{}");
        assertTrue(ProcessCluster.awaitTrue(2, () -> cluster.store().writeCount() > writes));
        owner.freeze();
        try {
            assertEquals(kindOf(ProcessCluster.await(one)), "outcome_unknown");
            cluster.store().delay(0);
        } finally {
            owner.thaw();
        }
        awaitServing();
        String retryKind = kindOf(orderNow(second, key));
        assertEquals(service.executions(key), retryKind.equals("answered") ? 1 : 0, retryKind);
    }

    @Test
    public void shouldRunAtMostOnceWhenOwnerIsPausedBeforeClaim() {
        String key = keyOf("order-1");
        DaemonProcess owner = cluster.processes().get("order-1");
        owner.freeze();
        try {
            CompletableFuture<HttpReply> reply = order(first, key, 4_000, "{}");
            assertTrue(ProcessCluster.awaitTrue(6, reply::isDone), "unanswered past the deadline");
            HttpReply one = ProcessCluster.await(reply);
            assertTrue(!kindOf(one).equals("not_run") || service.executions(key) == 0, one.text());
            HttpReply two = ProcessCluster.await(order(second, key, 7_000, "{}"));
            assertTrue(service.executions(key) <= 1, two.text());
        } finally {
            owner.thaw();
        }
        awaitServing();
        orderNow(second, key);
        assertTrue(service.executions(key) <= 1);
    }

    @Test
    public void shouldAnswerAndRecordCallInProgressWhenSideIsToldToEnd() {
        String key = keyOf("order-2");
        delayService(1_500);
        CompletableFuture<HttpReply> reply = order(first, key, 8_000, "{}");
        assertTrue(ProcessCluster.awaitTrue(3, () -> service.executions(key) == 1));
        DaemonProcess side = cluster.processes().get(runningSide());
        side.terminate();
        HttpReply one = ProcessCluster.await(reply);
        assertEquals(kindOf(one), "answered");
        assertTrue(side.await(5));
        assertEquals(side.exitCode(), 0);
        delayService(0);
        assertEquals(orderNow(second, key).text(), one.text());
        assertEquals(service.executions(key), 1);
        side.start();
        awaitServing();
    }
}
