package org.arbutusstack.bench.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.kv.KeyValueStandIn;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.arbutusstack.testkit.weights.WeightStoreStandIn;

/** Runs the daemons and stand-ins of one deployment. To be used by one thread. */
public final class DeploymentCluster implements AutoCloseable {

    private static final int ENTRIES = 3;

    private static final long START_SECONDS = 90;

    private static final int OK = 200;

    private static final String LOOPBACK = "127.0.0.1";

    private final Deployment deployment;

    private final ProcessCluster cluster;

    private final WeightStoreStandIn weights;

    private final List<EngineStandIn> engines = new ArrayList<>();

    private final List<DaemonProcess> sides = new ArrayList<>();

    private final List<DaemonProcess> entries = new ArrayList<>();

    private final Set<Integer> lost = new HashSet<>();

    /**
     * Starts the processes and waits until every model has a ready copy.
     *
     * @param deployment the sizes
     * @param policy the policy of the entries
     * @param directory where the daemons' logs go
     */
    public DeploymentCluster(Deployment deployment, Policy policy, File directory) {
        this.deployment = deployment;
        this.cluster = new ProcessCluster(directory);
        this.weights = new WeightStoreStandIn(0, deployment.weights());
        weights.start();
        startEngines();
        startPlainServices();
        startEntries(policy);
        cluster.publishHosts();
        submitTicket();
    }

    private void startEngines() {
        HttpTarget weightStore = HttpTarget.parse(weights.address());
        for (int number = 0; number < deployment.engineRunners(); number++) {
            EngineStandIn engine = cluster.startEngine(deployment.shape(), weightStore);
            engines.add(engine);
            String name = deployment.engineService() + "-" + number;
            Map<String, String> more = new HashMap<>(region());
            more.put("slots", Integer.toString(deployment.shape().slots()));
            sides.add(cluster.startSide(
                    name, deployment.engineService(), deployment.zone(number), engine.address(), more));
            cluster.hostRow(name).put("region", deployment.region());
        }
    }

    private Map<String, String> region() {
        return Map.of("region", deployment.region());
    }

    private void startPlainServices() {
        for (int number = 0; number < deployment.plainRunners(); number++) {
            PlainServiceStandIn service = cluster.startPlainService();
            String name = deployment.plainService() + "-" + number;
            cluster.startSide(name, deployment.plainService(), deployment.zone(number), service.address(), region());
            cluster.hostRow(name).put("region", deployment.region());
        }
    }

    private void startEntries(Policy policy) {
        for (int number = 0; number < ENTRIES; number++) {
            String name = "entry-" + number;
            Map<String, String> more = new HashMap<>(region());
            more.putAll(policy.flags());
            entries.add(cluster.startEntry(name, deployment.zone(number), more));
            cluster.hostRow(name).put("region", deployment.region());
        }
    }

    private void submitTicket() {
        for (DaemonProcess process : cluster.processes().values()) {
            require(cluster.awaitUp(process, START_SECONDS), process.name() + " did not start");
        }
        HttpReply reply = cluster.submit(entries.get(0), deployment.ticket().json());
        require(reply.status() == OK, "the ticket was not accepted: " + new String(reply.body()));
        boolean ready = ProcessCluster.awaitTrue(START_SECONDS, () -> reachableModels() == deployment.models());
        require(ready, "not every model has a ready copy but " + reachableModels());
    }

    private static void require(boolean condition, String otherwise) {
        if (!condition) {
            throw new IllegalStateException(otherwise);
        }
    }

    /**
     * Counts the models with a ready copy on an engine that is not lost.
     *
     * @return the number
     */
    public int reachableModels() {
        Set<String> ready = new HashSet<>();
        for (int number = 0; number < engines.size(); number++) {
            if (!lost.contains(number)) {
                for (JsonNode model : engines.get(number).memoryState().path("models")) {
                    addIfReady(model, ready);
                }
            }
        }
        return ready.size();
    }

    private static void addIfReady(JsonNode model, Set<String> ready) {
        if (model.path("ready").asBoolean()) {
            ready.add(model.path("key").asText());
        }
    }

    /**
     * Counts the moves since the start.
     *
     * @return the moves
     */
    public Moves moves() {
        long modelUnloads = 0;
        long adapterUnloads = 0;
        long violations = 0;
        for (EngineStandIn engine : engines) {
            JsonNode memory = engine.memoryState();
            modelUnloads += memory.path("model_unloads").asLong();
            adapterUnloads += memory.path("adapter_unloads").asLong();
            violations += memory.path("violations").asLong();
        }
        return new Moves(weights.modelFetches(), modelUnloads, weights.adapterFetches(), adapterUnloads, violations);
    }

    /**
     * Loses a runner for good.
     *
     * @param number the runner's number
     */
    void loseRunner(int number) {
        lost.add(number);
        engines.get(number).close();
        sides.get(number).kill();
    }

    /** Loses the runners of the last entry's availability zone; callers are sent to the others by the balancer. */
    void loseZone() {
        String zone = deployment.zone(ENTRIES - 1);
        for (int number = 0; number < sides.size(); number++) {
            if (deployment.zone(number).equals(zone)) {
                loseRunner(number);
            }
        }
    }

    KeyValueStandIn store() {
        return cluster.store();
    }

    WeightStoreStandIn weights() {
        return weights;
    }

    /**
     * Gives access to the client that callers use.
     *
     * @return the client
     */
    public HttpClient client() {
        return cluster.client();
    }

    /**
     * Lists where callers reach the entries.
     *
     * @return the addresses
     */
    public List<HttpTarget> callerTargets() {
        return entries.stream()
                .map(entry -> new HttpTarget(LOOPBACK, entry.port("caller-port")))
                .toList();
    }

    @Override
    public void close() {
        cluster.close();
        weights.close();
    }
}
