package org.arbutusstack.testkit.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.hosts.HostListStandIn;
import org.arbutusstack.testkit.kv.KeyValueStandIn;
import org.arbutusstack.testkit.plain.PlainServiceStandIn;

/**
 * Cluster of entries and sides that run as processes, with stand-ins that run within the test.
 *
 * <p>Start stand-ins and processes, call {@link #publishHosts()}, submit a ticket, and call {@link #close()} at the
 * end, which kills only the processes that the cluster started. Not thread-safe.
 */
public final class ProcessCluster implements AutoCloseable {

    /** Name of the operator of the cluster. */
    public static final String OPERATOR = "operator";

    /** Access token of the operator of the cluster. */
    public static final String OPERATOR_TOKEN = "a token for tests on loopback";

    private static final String LOOPBACK = "127.0.0.1";

    /** Flags of the ports on which processes take calls of callers and operators. */
    private static final List<String> CALL_PORT_FLAGS = List.of("caller-port", "operator-port");

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final long CALL_SECONDS = 60;

    private static final long POLL_MILLIS = 20;

    private final File directory;

    private final KeyValueStandIn store = new KeyValueStandIn(0);

    private final HostListStandIn hosts = new HostListStandIn(0, 0);

    private final UndertowHttpClient client = new UndertowHttpClient("cluster", 2);

    private final List<AbstractStandIn> standIns = new ArrayList<>();

    private final Map<String, DaemonProcess> processes = new LinkedHashMap<>();

    private final Map<String, ObjectNode> hostRows = new LinkedHashMap<>();

    /**
     * Create a cluster and start its key-value service and host list.
     *
     * @param directory the directory of the logs of the processes, created if missing
     */
    public ProcessCluster(File directory) {
        this.directory = directory;
        if (!directory.isDirectory() && !directory.mkdirs()) {
            throw new IllegalArgumentException("'directory' could not be created: " + directory);
        }
        store.start();
        hosts.start();
    }

    /**
     * Return the stand-in for the key-value service.
     *
     * @return the stand-in
     */
    public KeyValueStandIn store() {
        return store;
    }

    /**
     * Return the port of the host list.
     *
     * @return the port on loopback
     */
    public int hostListPort() {
        return hosts.port();
    }

    /**
     * Return the HTTP client of the cluster.
     *
     * @return the client
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Start an engine.
     *
     * @param shape the size and speed of the engine
     * @param weightStore the address of the weight store; {@code null} to load immediately
     * @return the stand-in
     */
    public EngineStandIn startEngine(EngineShape shape, HttpTarget weightStore) {
        return startStandIn(new EngineStandIn(0, shape, client, weightStore));
    }

    /**
     * Start a plain service.
     *
     * @return the stand-in
     */
    public PlainServiceStandIn startPlainService() {
        return startStandIn(new PlainServiceStandIn(0));
    }

    private <T extends AbstractStandIn> T startStandIn(T standIn) {
        standIn.start();
        standIns.add(standIn);
        return standIn;
    }

    /**
     * Start a side and add its host, which takes effect with {@link #publishHosts()}.
     *
     * @param name the name of the host
     * @param service the name of the service
     * @param zone the availability zone
     * @param backend the address of the backend server
     * @param extraFlags flags that are added to the usual ones or replace them, without dashes
     * @return the process
     */
    public DaemonProcess startSide(
            String name, String service, String zone, String backend, Map<String, String> extraFlags) {
        Map<String, String> flags = commonFlags("side", name, zone);
        flags.put("service", service);
        flags.put("backend", backend);
        flags.putAll(extraFlags);
        return start(name, "SIDE", service, zone, flags);
    }

    /**
     * Start an entry and add its host, which takes effect with {@link #publishHosts()}.
     *
     * @param name the name of the host
     * @param zone the availability zone
     * @param extraFlags flags that are added to the usual ones or replace them, without dashes
     * @return the process
     */
    public DaemonProcess startEntry(String name, String zone, Map<String, String> extraFlags) {
        Map<String, String> flags = commonFlags("entry", name, zone);
        flags.put("caller-port", Integer.toString(FreePorts.next()));
        flags.put("operator-port", Integer.toString(FreePorts.next()));
        flags.put("host-list", hosts.address());
        flags.put("operators", OPERATOR + ":" + Digest.of(OPERATOR_TOKEN).hex());
        flags.putAll(extraFlags);
        return start(name, "ENTRY", "", zone, flags);
    }

    private Map<String, String> commonFlags(String role, String name, String zone) {
        Map<String, String> flags = new HashMap<>();
        flags.put("role", role);
        flags.put("name", name);
        flags.put("zone", zone);
        flags.put("store", store.address());
        flags.put("link-port", Integer.toString(FreePorts.next()));
        flags.put("admin-port", Integer.toString(FreePorts.next()));
        return flags;
    }

    private DaemonProcess start(String name, String role, String service, String zone, Map<String, String> flags) {
        DaemonProcess process = new DaemonProcess(name, flags, new File(directory, name + ".log"));
        process.start();
        processes.put(name, process);
        ObjectNode row = Json.object();
        row.put("name", name);
        row.put("role", role);
        row.put("service", service);
        row.put("region", "prairie");
        row.put("zone", zone);
        row.put("address", LOOPBACK);
        row.put("linkPort", process.port("link-port"));
        row.put("status", "LIVE");
        hostRows.put(name, row);
        return process;
    }

    /**
     * Return the row of a host in the host list. Changes to it take effect with {@link #publishHosts()}.
     *
     * @param name the name of the host
     * @return the row, which may be modified
     */
    public ObjectNode hostRow(String name) {
        return hostRows.get(name);
    }

    /**
     * Add a host that the cluster did not start. It takes effect with {@link #publishHosts()}.
     *
     * @param row the row of the host in the host list
     */
    public void addHost(ObjectNode row) {
        hostRows.put(row.path("name").asText(), row);
    }

    /** Publish the current rows in the host list. */
    public void publishHosts() {
        ObjectNode list = Json.object();
        ArrayNode rows = list.putArray("hosts");
        hostRows.values().forEach(rows::add);
        hosts.put(Json.write(list));
    }

    /** Publish an empty host list, to simulate a fault of the host list. */
    public void publishNoHosts() {
        hosts.put(Json.write(Json.object().set("hosts", Json.object().arrayNode())));
    }

    /**
     * Submit a ticket and wait for the answer.
     *
     * @param entry the entry to submit it to
     * @param ticketJson the ticket as JSON
     * @return the answer
     */
    public HttpReply submit(DaemonProcess entry, String ticketJson) {
        byte[] body = ticketJson.getBytes(StandardCharsets.UTF_8);
        return await(call(entry.port("operator-port"), asOperator("POST", "/tickets", body)));
    }

    /**
     * Create a call that carries the access token of the operator.
     *
     * @param method the HTTP method
     * @param path the path on the operators' port
     * @param body the body; empty for none
     * @return the call
     */
    public static HttpCall asOperator(String method, String path, byte[] body) {
        return new HttpCall(method, path, Map.of("Authorization", "Bearer " + OPERATOR_TOKEN), body);
    }

    /**
     * Send a call to a port on loopback.
     *
     * @param port the port
     * @param call the call
     * @return a future of the answer, which fails with an {@link org.arbutusstack.http.client.HttpException}
     */
    public CompletableFuture<HttpReply> call(int port, HttpCall call) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALL_SECONDS);
        return client.call(new HttpTarget(LOOPBACK, port), call, deadlineNanos);
    }

    /**
     * Wait for an answer.
     *
     * @param reply the future of the answer
     * @return the answer
     */
    public static HttpReply await(CompletableFuture<HttpReply> reply) {
        try {
            return reply.get(CALL_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted while waiting for an answer", interrupted);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IllegalStateException("The call failed or timed out", failure);
        }
    }

    /**
     * Read the state of a process from its admin port.
     *
     * @param process the process
     * @return the state; an empty object if the process does not answer
     */
    public JsonNode state(DaemonProcess process) {
        try {
            return Json.read(await(call(process.port("admin-port"), HttpCall.get("/state")))
                    .body());
        } catch (IllegalStateException unanswered) {
            return Json.object();
        }
    }

    /**
     * Wait until a condition holds.
     *
     * @param seconds the maximum time to wait, in seconds
     * @param condition the condition
     * @return whether the condition held in time
     */
    public static boolean awaitTrue(long seconds, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() - deadlineNanos < 0) {
            if (condition.getAsBoolean()) {
                return true;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
        return condition.getAsBoolean();
    }

    /**
     * Wait until a process answers on its admin port and accepts connections on its ports for callers and operators,
     * which it opens later.
     *
     * @param process the process
     * @param seconds the maximum time to wait, in seconds
     * @return whether it answered in time
     */
    public boolean awaitUp(DaemonProcess process, long seconds) {
        return awaitTrue(
                seconds,
                () -> state(process).has("role")
                        && CALL_PORT_FLAGS.stream()
                                .filter(flag -> process.flag(flag) != null)
                                .allMatch(flag -> isListening(process.port(flag))));
    }

    private static boolean isListening(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException notListening) {
            return false;
        }
    }

    /**
     * Return the processes that the cluster has started.
     *
     * @return the processes by name of the host
     */
    public Map<String, DaemonProcess> processes() {
        return Map.copyOf(processes);
    }

    @Override
    public void close() {
        processes.values().stream().filter(DaemonProcess::isAlive).forEach(DaemonProcess::kill);
        standIns.forEach(AbstractStandIn::close);
        store.close();
        hosts.close();
        client.close();
    }
}
