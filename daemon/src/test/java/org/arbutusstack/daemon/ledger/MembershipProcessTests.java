package org.arbutusstack.daemon.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.util.Map;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.Test;

/**
 * Tests the number of runners that {@code ticket show} reports when processes are replaced and the host list is empty.
 * Guards against counting a process that has stopped, or another host that now has its address.
 */
public class MembershipProcessTests {

    private static final String TICKET =
            "{\"number\":1,\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":true}]}";

    private static JsonNode show(ProcessCluster cluster, DaemonProcess entry) {
        return Json.read(ProcessCluster.await(cluster.call(
                        entry.port("operator-port"), ProcessCluster.asOperator("GET", "/tickets/1", new byte[0])))
                .body());
    }

    private static boolean awaitInForce(ProcessCluster cluster, DaemonProcess entry, int inForce, int runners) {
        return awaitInForce(cluster, entry, inForce, runners, 8);
    }

    private static boolean awaitInForce(
            ProcessCluster cluster, DaemonProcess entry, int inForce, int runners, long seconds) {
        return ProcessCluster.awaitTrue(seconds, () -> {
            JsonNode ticket = show(cluster, entry);
            return ticket.path("inForceOn").asInt(-1) == inForce
                    && ticket.path("runners").asInt() == runners;
        });
    }

    @Test
    public void shouldCountPresentRunsOnlyWhenProcessesAreReplacedAndListIsEmpty() {
        try (ProcessCluster cluster = new ProcessCluster(new File("target/membership"))) {
            PlainServiceStandIn backend = cluster.startPlainService();
            String address = "127.0.0.1:" + backend.port();
            DaemonProcess first = cluster.startSide("desk-1", "orderdesk", "regina", address, Map.of());
            DaemonProcess second = cluster.startSide("desk-2", "orderdesk", "regina", address, Map.of());
            DaemonProcess entry = cluster.startEntry("entry-1", "regina", Map.of());
            cluster.publishHosts();
            assertTrue(cluster.awaitUp(entry, 30) && cluster.awaitUp(first, 30) && cluster.awaitUp(second, 30));
            assertEquals(cluster.submit(entry, TICKET).status(), 200);
            assertTrue(awaitInForce(cluster, entry, 2, 2));
            long inForceEverywhereMillis =
                    show(cluster, entry).path("inForceEverywhereByMillis").asLong();
            assertTrue(inForceEverywhereMillis > 0);

            cluster.publishNoHosts();
            second.kill();
            assertTrue(awaitInForce(cluster, entry, 1, 2), "an empty list drops nobody, a dead process does not count");
            second.flag("name", "desk-9");
            second.start();
            assertTrue(cluster.awaitUp(second, 30));
            assertFalse(awaitInForce(cluster, entry, 2, 2, 2), "another host at the address does not count as desk-2");
            assertEquals(show(cluster, entry).path("notInForceOn").path(0).asText(), "desk-2");
            cluster.hostRow("desk-2").put("name", "desk-9");
            cluster.publishHosts();
            assertTrue(awaitInForce(cluster, entry, 2, 2), "the new member is counted");
            assertEquals(show(cluster, entry).path("inForceEverywhereByMillis").asLong(), inForceEverywhereMillis);
        }
    }
}
