package org.arbutusstack.testkit.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
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
 * Runs entries and sides as processes against stand-ins that live in the test itself.
 *
 * <p>Start stand-ins and processes, call {@link #publishHosts()}, submit a ticket, and {@link #close()} at the end: it
 * kills only what it started. To be used by one thread.
 */
public final class ProcessCluster implements AutoCloseable {

    /** The name of the cluster's operator. */
    public static final String OPERATOR = "operator";

    /** The token of the cluster's operator. */
    public static final String OPERATOR_TOKEN = "a token for tests on loopback";

    private static final String LOOPBACK = "127.0.0.1";

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
     * Creates a cluster with a key-value service and a host list.
     *
     * @param directory where the processes' logs go
     */
    public ProcessCluster(File directory) {
        this.directory = directory;
        if (!directory.isDirectory() && !directory.mkdirs()) {
            throw new IllegalArgumentException("'directory' cannot be made: " + directory);
        }
        store.start();
        hosts.start();
    }

    /**
     * Gives access to the key-value service.
     *
     * @return the stand-in
     */
    public KeyValueStandIn store() {
        return store;
    }

    /**
     * Tells where the host list answers.
     *
     * @return the port on loopback
     */
    public int hostListPort() {
        return hosts.port();
    }

    /**
     * Gives access to the client that the cluster uses.
     *
     * @return the client
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Starts an engine.
     *
     * @param shape its size and speed
     * @param weightStore where it fetches weights; {@code null} to load at once
     * @return the stand-in
     */
    public EngineStandIn startEngine(EngineShape shape, HttpTarget weightStore) {
        return started(new EngineStandIn(0, shape, client, weightStore));
    }

    /**
     * Starts a plain service.
     *
     * @return the stand-in
     */
    public PlainServiceStandIn startPlainService() {
        return started(new PlainServiceStandIn(0));
    }

    private <T extends AbstractStandIn> T started(T standIn) {
        standIn.start();
        standIns.add(standIn);
        return standIn;
    }

    /**
     * Starts a side.
     *
     * @param name the host's name
     * @param service the service
     * @param zone the availability zone
     * @param backend the address of its backend server
     * @param more flags beside the usual ones, without dashes
     * @return the process
     */
    public DaemonProcess startSide(String name, String service, String zone, String backend, Map<String, String> more) {
        Map<String, String> flags = commonFlags("side", name, zone);
        flags.put("service", service);
        flags.put("backend", backend);
        flags.putAll(more);
        return start(name, "SIDE", service, zone, flags);
    }

    /**
     * Starts an entry.
     *
     * @param name the host's name
     * @param zone the availability zone
     * @param more flags beside the usual ones, without dashes
     * @return the process
     */
    public DaemonProcess startEntry(String name, String zone, Map<String, String> more) {
        Map<String, String> flags = commonFlags("entry", name, zone);
        flags.put("caller-port", Integer.toString(FreePorts.next()));
        flags.put("operator-port", Integer.toString(FreePorts.next()));
        flags.put("host-list", hosts.address());
        flags.put("operators", OPERATOR + ":" + Digest.of(OPERATOR_TOKEN).hex());
        flags.putAll(more);
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
     * Changes what the host list says of a host; takes effect with {@link #publishHosts()}.
     *
     * @param name the host's name
     * @return its row, to be changed in place
     */
    public ObjectNode hostRow(String name) {
        return hostRows.get(name);
    }

    /**
     * Adds a host that the cluster did not start; takes effect with {@link #publishHosts()}.
     *
     * @param row what the host list says of it
     */
    public void addHost(ObjectNode row) {
        hostRows.put(row.path("name").asText(), row);
    }

    /** Shows the hosts in the host list. */
    public void publishHosts() {
        ObjectNode list = Json.object();
        ArrayNode rows = list.putArray("hosts");
        hostRows.values().forEach(rows::add);
        hosts.put(Json.write(list));
    }

    /** Shows an empty host list, as if by mistake. */
    public void publishNoHosts() {
        hosts.put(Json.write(Json.object().set("hosts", Json.object().arrayNode())));
    }

    /**
     * Submits a ticket and waits for the answer.
     *
     * @param entry the entry that takes it
     * @param ticketJson the ticket in JSON
     * @return the answer
     */
    public HttpReply submit(DaemonProcess entry, String ticketJson) {
        byte[] body = ticketJson.getBytes(StandardCharsets.UTF_8);
        return await(call(entry.port("operator-port"), asOperator("POST", "/tickets", body)));
    }

    /**
     * Describes a call with the token of the cluster's operator.
     *
     * @param method the method
     * @param path the path at the operators' port
     * @param body the body, empty for none
     * @return the call
     */
    public static HttpCall asOperator(String method, String path, byte[] body) {
        return new HttpCall(method, path, Map.of("Authorization", "Bearer " + OPERATOR_TOKEN), body);
    }

    /**
     * Sends a call to a port on loopback.
     *
     * @param port the port
     * @param call the call
     * @return the answer; fails with an {@link org.arbutusstack.http.client.HttpException}
     */
    public CompletableFuture<HttpReply> call(int port, HttpCall call) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALL_SECONDS);
        return client.call(new HttpTarget(LOOPBACK, port), call, deadlineNanos);
    }

    /**
     * Waits for an answer.
     *
     * @param reply the answer to come
     * @return the answer
     */
    public static HttpReply await(CompletableFuture<HttpReply> reply) {
        try {
            return reply.get(CALL_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Was interrupted", interrupted);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IllegalStateException("Got no answer", failure);
        }
    }

    /**
     * Reads a process's state dump.
     *
     * @param process the process
     * @return the dump, an empty object if the process does not answer
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
     * Waits until a condition holds.
     *
     * @param seconds how long to wait at the most
     * @param condition the condition
     * @return whether it held in time
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
     * Waits until a process answers on its admin port.
     *
     * @param process the process
     * @param seconds how long to wait at the most
     * @return whether it did
     */
    public boolean awaitUp(DaemonProcess process, long seconds) {
        return awaitTrue(seconds, () -> state(process).has("role"));
    }

    /**
     * Lists the processes started.
     *
     * @return the processes by name
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
