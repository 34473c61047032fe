package org.arbutusstack.daemon.request;

import java.io.File;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;

/** Cluster of entries, sides and engines in which every engine holds the same model. */
final class RequestCluster implements AutoCloseable {

    static final String SERVICE = "stitch-lm";

    final ProcessCluster cluster;

    final List<EngineStandIn> engines = new ArrayList<>();

    final List<DaemonProcess> sides = new ArrayList<>();

    final List<DaemonProcess> entries = new ArrayList<>();

    final CallerLoad load;

    RequestCluster(String name, int entryCount, int sideCount, EngineShape shape, Map<String, String> entryFlags) {
        cluster = new ProcessCluster(new File("target/" + name));
        load = new CallerLoad(cluster.client());
        for (int index = 1; index <= sideCount; index++) {
            EngineStandIn engine = cluster.startEngine(shape, null);
            engines.add(engine);
            sides.add(cluster.startSide("lm-" + index, SERVICE, "regina", engine.address(), Map.of()));
        }
        for (int index = 1; index <= entryCount; index++) {
            entries.add(cluster.startEntry("entry-" + index, "regina", new HashMap<>(entryFlags)));
        }
    }

    /** Publish the hosts and the ticket, then wait until each entry sees the model on every runner. */
    RequestCluster awaitReady() {
        cluster.publishHosts();
        entries.forEach(entry -> require(cluster.awaitUp(entry, 30)));
        String ticket = "{\"number\":1,\"services\":[{\"name\":\"stitch-lm\",\"kind\":\"ENGINE\",\"idempotent\":true},"
                + "{\"name\":\"orderdesk\",\"kind\":\"PLAIN\",\"idempotent\":false}],"
                + "\"models\":[{\"name\":\"boot-design\",\"service\":\"stitch-lm\",\"version\":\"v1\","
                + "\"memoryMb\":100,\"minimumCopies\":" + sides.size() + "}]}";
        require(cluster.submit(entries.get(0), ticket).status() == 200);
        entries.forEach(entry -> require(ProcessCluster.awaitTrue(15, () -> countReadyRunners(entry) == sides.size())));
        return this;
    }

    /** Return the number of runners that accept requests for the model, as seen by an entry. */
    long countReadyRunners(DaemonProcess entry) {
        long count = 0;
        for (var runner : cluster.state(entry).path("runners")) {
            boolean available = runner.path("takesWork").asBoolean()
                    && runner.path("models").path(0).asText().equals("boot-design@v1");
            count += available ? 1 : 0;
        }
        return count;
    }

    int executions(String requestId) {
        return engines.stream().mapToInt(engine -> engine.executions(requestId)).sum();
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalStateException("The cluster did not become ready");
        }
    }

    @Override
    public void close() {
        cluster.close();
    }
}
