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

/** The daemons and stand-ins of one deployment. Not thread-safe. */
public final class DeploymentCluster implements AutoCloseable {

    private static final int ENTRIES = 3;

    private static final long START_SECONDS = 90;

    private static final int OK = 200;

    private static final String LOOPBACK = "127.0.0.1";

    private final Deployment deployment;

    private final ProcessCluster cluster;

    private final WeightStoreStandIn weightStore;

    private final List<EngineStandIn> engines = new ArrayList<>();

    private final List<DaemonProcess> sides = new ArrayList<>();

    private final List<DaemonProcess> entries = new ArrayList<>();

    private final Set<Integer> lostRunners = new HashSet<>();

    /**
     * Start the processes and wait until every model has a ready copy.
     *
     * @param deployment the deployment to start
     * @param policy the policy that the entries apply
     * @param directory the directory of the logs of the daemons
     */
    public DeploymentCluster(Deployment deployment, Policy policy, File directory) {
        this.deployment = deployment;
        this.cluster = new ProcessCluster(directory);
        this.weightStore = new WeightStoreStandIn(0, deployment.weightStoreSpeed());
        weightStore.start();
        startEngines();
        startPlainServices();
        startEntries(policy);
        cluster.publishHosts();
        submitTicket();
    }

    private void startEngines() {
        HttpTarget weightStoreTarget = HttpTarget.parse(weightStore.address());
        for (int number = 0; number < deployment.engineRunners(); number++) {
            EngineStandIn engine = cluster.startEngine(deployment.engineShape(), weightStoreTarget);
            engines.add(engine);
            String name = deployment.engineService() + "-" + number;
            Map<String, String> extraFlags = new HashMap<>(regionFlag());
            extraFlags.put("slots", Integer.toString(deployment.engineShape().slots()));
            sides.add(cluster.startSide(
                    name, deployment.engineService(), deployment.zone(number), engine.address(), extraFlags));
            cluster.hostRow(name).put("region", deployment.region());
        }
    }

    private Map<String, String> regionFlag() {
        return Map.of("region", deployment.region());
    }

    private void startPlainServices() {
        for (int number = 0; number < deployment.plainRunners(); number++) {
            PlainServiceStandIn service = cluster.startPlainService();
            String name = deployment.plainService() + "-" + number;
            cluster.startSide(
                    name, deployment.plainService(), deployment.zone(number), service.address(), regionFlag());
            cluster.hostRow(name).put("region", deployment.region());
        }
    }

    private void startEntries(Policy policy) {
        for (int number = 0; number < ENTRIES; number++) {
            String name = "entry-" + number;
            Map<String, String> extraFlags = new HashMap<>(regionFlag());
            extraFlags.putAll(policy.flags());
            entries.add(cluster.startEntry(name, deployment.zone(number), extraFlags));
            cluster.hostRow(name).put("region", deployment.region());
        }
    }

    private void submitTicket() {
        for (DaemonProcess process : cluster.processes().values()) {
            require(cluster.awaitUp(process, START_SECONDS), process.name() + " did not start");
        }
        HttpReply reply = cluster.submit(entries.get(0), deployment.ticket().json());
        require(reply.status() == OK, "The ticket was not accepted: " + new String(reply.body()));
        boolean ready = ProcessCluster.awaitTrue(START_SECONDS, () -> reachableModels() == deployment.models());
        require(ready, "Not every model has a ready copy, but only " + reachableModels());
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }

    /**
     * Return the number of models with a ready copy on an engine that has not been lost.
     *
     * @return the number
     */
    public int reachableModels() {
        Set<String> ready = new HashSet<>();
        for (int number = 0; number < engines.size(); number++) {
            if (!lostRunners.contains(number)) {
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
     * Return the loads and unloads since the start.
     *
     * @return the number of loads and unloads
     */
    public PlacementChanges placementChanges() {
        long modelUnloads = 0;
        long adapterUnloads = 0;
        long violations = 0;
        for (EngineStandIn engine : engines) {
            JsonNode memory = engine.memoryState();
            modelUnloads += memory.path("model_unloads").asLong();
            adapterUnloads += memory.path("adapter_unloads").asLong();
            violations += memory.path("violations").asLong();
        }
        return new PlacementChanges(
                weightStore.modelFetches(), modelUnloads, weightStore.adapterFetches(), adapterUnloads, violations);
    }

    /**
     * Stop an engine and kill its side. Neither is restarted.
     *
     * @param number the number of the runner, from zero
     */
    void loseRunner(int number) {
        lostRunners.add(number);
        engines.get(number).close();
        sides.get(number).kill();
    }

    /**
     * Lose the engine runners in the availability zone of the last entry. The entry keeps running; in production the
     * load balancer would send its callers to the other entries.
     */
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

    WeightStoreStandIn weightStore() {
        return weightStore;
    }

    /**
     * Return the client for requests of callers.
     *
     * @return the client
     */
    public HttpClient client() {
        return cluster.client();
    }

    /**
     * Return the addresses at which callers reach the entries.
     *
     * @return the address of each entry
     */
    public List<HttpTarget> callerTargets() {
        return entries.stream()
                .map(entry -> new HttpTarget(LOOPBACK, entry.port("caller-port")))
                .toList();
    }

    @Override
    public void close() {
        cluster.close();
        weightStore.close();
    }
}
