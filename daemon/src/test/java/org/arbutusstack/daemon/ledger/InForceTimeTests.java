package org.arbutusstack.daemon.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.arbutusstack.testkit.kv.KeyValueFault;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Measures how long an accepted ticket takes until it is in force on every runner of a cluster of real processes. */
public class InForceTimeTests {

    private static final int TICKETS = 10;

    private static final long MAX_IN_FORCE_MILLIS = 4_000;

    private static final long STORE_DELAY_MILLIS = 400;

    private long number;

    @Test
    public void shouldBeInForceInTimeWhenServiceIsUpSlowAndDown() {
        try (ProcessCluster cluster = new ProcessCluster(new File("target/in-force"))) {
            String backend = "127.0.0.1:" + cluster.startPlainService().port();
            List<DaemonProcess> sides = new ArrayList<>();
            for (int side = 1; side <= 4; side++) {
                sides.add(cluster.startSide("desk-" + side, "orderdesk", "regina", backend, Map.of()));
            }
            DaemonProcess entry = cluster.startEntry("entry-1", "regina", Map.of());
            DaemonProcess other = cluster.startEntry("entry-2", "saskatoon", Map.of());
            cluster.publishHosts();
            assertTrue(cluster.awaitUp(entry, 30) && cluster.awaitUp(other, 30));
            measure("up", cluster, entry, sides, KeyValueFault.NONE);
            cluster.store().delay(STORE_DELAY_MILLIS);
            measure("slow", cluster, entry, sides, KeyValueFault.NONE);
            cluster.store().delay(0);
            measure("down", cluster, entry, sides, KeyValueFault.REFUSE);
        }
    }

    private void measure(
            String name,
            ProcessCluster cluster,
            DaemonProcess entry,
            List<DaemonProcess> sides,
            KeyValueFault faultAfterAccept) {
        Histogram millis = new Histogram(3);
        long callsBefore = cluster.store().readCount() + cluster.store().writeCount();
        for (int ticket = 0; ticket < TICKETS; ticket++) {
            number++;
            long sequence = number;
            String json = "{\"number\":" + number + ",\"services\":[{\"name\":\"orderdesk\",\"kind\":\"PLAIN\","
                    + "\"idempotent\":" + (number % 2 == 0) + "}]}";
            assertEquals(cluster.submit(entry, json).status(), 200);
            long acceptedAtNanos = System.nanoTime();
            cluster.store().fault(faultAfterAccept);
            assertTrue(ProcessCluster.awaitTrue(10, () -> sides.stream()
                    .allMatch(side -> cluster.state(side).path("sequence").asLong() >= sequence)));
            millis.recordValue((System.nanoTime() - acceptedAtNanos) / 1_000_000);
            cluster.store().fault(KeyValueFault.NONE);
        }
        long storeCalls = cluster.store().readCount() + cluster.store().writeCount() - callsBefore;
        Reporter.log(
                String.format(
                        "in force: service %s, ms p50 %d p99 %d, calls %d for %d tickets (all of the cluster)",
                        name, millis.getValueAtPercentile(50), millis.getValueAtPercentile(99), storeCalls, TICKETS),
                true);
        assertTrue(millis.getMaxValue() <= MAX_IN_FORCE_MILLIS, name + ": " + millis.getMaxValue() + " ms");
    }
}
