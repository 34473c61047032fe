package org.arbutusstack.bench.slopes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;
import org.arbutusstack.bench.deployment.TicketBuilder;
import org.arbutusstack.bench.process.MachineLoad;
import org.arbutusstack.bench.process.ProcessSample;
import org.arbutusstack.bench.process.ProcessUse;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;

/** Harness that starts a cluster and measures one of its daemons. Not thread-safe. */
final class SlopeHarness implements AutoCloseable {

    static final String SERVICE = "stitch-lm";

    static final String ZONE = "regina";

    private static final long START_SECONDS = 60;

    private static final long MODEL_MB = 1_000;

    private static final int OK = 200;

    private final ProcessCluster cluster;

    private final SlopeWindow window;

    private final Map<String, DoubleSupplier> counters = new TreeMap<>();

    SlopeHarness(File directory, SlopeWindow window) {
        this.cluster = new ProcessCluster(directory);
        this.window = window;
        counters.put("storeReadsPerSecond", () -> cluster.store().readCount());
        counters.put("storeWritesPerSecond", () -> cluster.store().writeCount());
    }

    ProcessCluster cluster() {
        return cluster;
    }

    DaemonProcess startEntry() {
        DaemonProcess entry = cluster.startEntry("entry-1", ZONE, Map.of());
        cluster.publishHosts();
        awaitUp(entry);
        return entry;
    }

    void awaitUp(DaemonProcess process) {
        require(cluster.awaitUp(process, START_SECONDS), process.name() + " did not start");
    }

    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    void submit(DaemonProcess entry, TicketBuilder ticket) {
        HttpReply reply = cluster.submit(entry, ticket.json());
        require(reply.status() == OK, "The ticket was not accepted: " + new String(reply.body()));
    }

    static TicketBuilder ticketOfModels(long number, int count) {
        TicketBuilder ticket = new TicketBuilder(number).engineService(SERVICE);
        for (int index = 0; index < count; index++) {
            ticket.model("model-" + index, SERVICE, MODEL_MB);
        }
        return ticket;
    }

    void addFakeSides(int count, int port) {
        for (int index = 0; index < count; index++) {
            cluster.addHost(hostRow("fake-" + index, "SIDE", SERVICE, port));
        }
        cluster.publishHosts();
    }

    static ObjectNode hostRow(String name, String role, String service, int port) {
        ObjectNode row = Json.object();
        row.put("name", name).put("role", role).put("service", service);
        row.put("region", "prairie").put("zone", ZONE);
        row.put("address", "127.0.0.1").put("linkPort", port).put("status", "LIVE");
        return row;
    }

    void addCounter(String rateName, DoubleSupplier counter) {
        counters.put(rateName, counter);
    }

    /** Measure a daemon over the window. Counters are reported as rates per second. */
    Measurement measure(int size, DaemonProcess process) {
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(window.warmUpSeconds()));
        Map<String, Double> before = readCounters();
        ProcessSample first = ProcessSample.of(process.pid());
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(window.seconds()));
        ProcessSample last = ProcessSample.of(process.pid());
        Map<String, Double> rates = new TreeMap<>();
        readCounters().forEach((name, value) -> rates.put(name, (value - before.get(name)) / window.seconds()));
        return new Measurement(size, ProcessUse.between(first, last), rates, MachineLoad.lastMinute());
    }

    private Map<String, Double> readCounters() {
        Map<String, Double> values = new TreeMap<>();
        counters.forEach((name, counter) -> values.put(name, counter.getAsDouble()));
        return values;
    }

    @Override
    public void close() {
        cluster.close();
    }
}
