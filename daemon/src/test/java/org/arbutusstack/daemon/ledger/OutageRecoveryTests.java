package org.arbutusstack.daemon.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.util.Map;
import org.arbutusstack.testkit.kv.KeyValueFault;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a process that is killed and restarted during an outage of the key-value service gets the current ticket
 * log from its peers.
 */
public class OutageRecoveryTests {

    private static final long IN_FORCE_SECONDS = 4;

    private static final long START_SECONDS = 30;

    @DataProvider
    public Object[][] outages() {
        return new Object[][] {{KeyValueFault.REFUSE}, {KeyValueFault.HANG}};
    }

    private static String ticket(int number) {
        return "{\"number\":" + number + ",\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":"
                + (number % 2 == 0) + "}]}";
    }

    private static boolean awaitSequence(ProcessCluster cluster, DaemonProcess process, long sequence) {
        return ProcessCluster.awaitTrue(
                IN_FORCE_SECONDS, () -> cluster.state(process).path("sequence").asLong() >= sequence);
    }

    @Test(dataProvider = "outages")
    public void shouldComeBackWithNewestStateWhenReplacedInOutage(KeyValueFault outage) {
        try (ProcessCluster cluster = new ProcessCluster(new File("target/outage-" + outage))) {
            PlainServiceStandIn backend = cluster.startPlainService();
            DaemonProcess side =
                    cluster.startSide("desk-1", "orderdesk", "regina", "127.0.0.1:" + backend.port(), Map.of());
            DaemonProcess first = cluster.startEntry("entry-1", "regina", Map.of());
            DaemonProcess second = cluster.startEntry("entry-2", "saskatoon", Map.of());
            cluster.publishHosts();
            assertTrue(cluster.awaitUp(first, START_SECONDS) && cluster.awaitUp(second, START_SECONDS));
            assertEquals(cluster.submit(first, ticket(1)).status(), 200);
            cluster.store().fault(outage);
            assertTrue(awaitSequence(cluster, side, 1) && awaitSequence(cluster, second, 1));
            killAndRestart(cluster, first);
            assertTrue(awaitSequence(cluster, first, 1), "the entry got the log from its peers");
            killAndRestart(cluster, side);
            assertTrue(awaitSequence(cluster, side, 1), "the side got the log from its peers");
            assertEquals(cluster.submit(first, ticket(2)).status(), 503);
            cluster.store().fault(KeyValueFault.NONE);
            assertTrue(ProcessCluster.awaitTrue(
                    IN_FORCE_SECONDS, () -> cluster.submit(second, ticket(2)).status() == 200));
            assertTrue(awaitSequence(cluster, side, 2) && awaitSequence(cluster, first, 2));
        }
    }

    private static void killAndRestart(ProcessCluster cluster, DaemonProcess process) {
        process.kill();
        process.start();
        assertTrue(cluster.awaitUp(process, START_SECONDS));
    }
}
