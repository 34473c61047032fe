package org.arbutusstack.testkit.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;
import org.xnio.IoUtils;

/** Stand-in for a model runner of the platform: answers requests with events, reports its state and executes orders. */
public final class PlatformRunnerStandIn extends AbstractStandIn {

    private static final int ACCEPTED = 202;

    private static final int CONFLICT = 409;

    private static final int MISDIRECTED = 421;

    private static final int UNAVAILABLE = 503;

    private static final int EVENTS = 5;

    private static final long EVENT_TRAVEL_MILLIS = 20;

    private static final HttpString REQUEST_ID = new HttpString("Request-Id");

    private static final HttpString INSTANCE_ID = new HttpString("Instance-Id");

    private static final HttpString SEAL = new HttpString("Response-Seal");

    private final String id;

    private final long startedAtMillis;

    private final Set<String> models = new ConcurrentSkipListSet<>();

    private final AtomicLong sequence = new AtomicLong();

    private final List<String> runs = Collections.synchronizedList(new ArrayList<>());

    /** The headers of the last request, one line for each header field. */
    private volatile String lastHeaders = "";

    private final AtomicInteger turnedAway = new AtomicInteger();

    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();

    private final AtomicBoolean crashed = new AtomicBoolean();

    private volatile RunnerFault fault = RunnerFault.NONE;

    private volatile String harmfulPart = "";

    private volatile String harmfulPath = "";

    private volatile int eventsBeforeCrash;

    private volatile long answerDelayMillis;

    /** Header that the runner adds to all its answers; empty for none. */
    private volatile String noticeHeader = "";

    private volatile String noticeValue = "";

    private volatile Runnable crashListener = () -> {};

    private volatile boolean startInHealthChecks;

    private volatile String softwareVersion = "v1";

    /**
     * Create a runner.
     *
     * @param port the port to listen on; zero for any free port
     * @param id the id of its incarnation
     * @param startedAtMillis the start time, in milliseconds since the Unix epoch
     * @param models the names of the models that it holds at first
     */
    public PlatformRunnerStandIn(int port, String id, long startedAtMillis, List<String> models) {
        this("127.0.0.1", port, id, startedAtMillis, models);
    }

    /**
     * Create a runner on a given loopback address.
     *
     * @param host the address, within 127.0.0.0/8
     * @param port the port to listen on; zero for any free port
     * @param id the id of its incarnation
     * @param startedAtMillis the start time, in milliseconds since the Unix epoch
     * @param models the names of the models that it holds at first
     */
    public PlatformRunnerStandIn(String host, int port, String id, long startedAtMillis, List<String> models) {
        super(host, port);
        this.id = id;
        this.startedAtMillis = startedAtMillis;
        this.models.addAll(models);
    }

    /**
     * Inject a fault from now on.
     *
     * @param newFault the fault; {@link RunnerFault#NONE} for normal operation
     */
    public void fault(RunnerFault newFault) {
        fault = newFault;
    }

    /**
     * Crash at the first request whose prompt contains a part: all connections are closed without an answer.
     *
     * @param part the identifier of the part
     * @param listener called once, on an I/O thread, when the runner has crashed
     */
    public void crashOnPart(String part, Runnable listener) {
        crashListener = listener;
        harmfulPart = part;
    }

    /**
     * Crash at the first request with a path: all connections are closed without a complete answer.
     *
     * @param path the path
     * @param events how many events of the answer are sent before the crash
     * @param listener called once, on an I/O thread, when the runner has crashed
     */
    public void crashOnPath(String path, int events, Runnable listener) {
        crashListener = listener;
        eventsBeforeCrash = events;
        harmfulPath = path;
    }

    /** State the start of this incarnation in the answers to health checks from now on. */
    public void stateStartInHealthChecks() {
        startInHealthChecks = true;
    }

    /**
     * Register with another version of the software from now on.
     *
     * @param version the version
     */
    public void softwareVersion(String version) {
        softwareVersion = version;
    }

    /**
     * Delay all answers from now on.
     *
     * @param millis the time from the request to the head of its answer, in milliseconds
     */
    public void delayAnswers(long millis) {
        answerDelayMillis = millis;
    }

    /**
     * Add a header to all answers from now on.
     *
     * @param header the name of the header; empty for none
     * @param value its value
     */
    public void notice(String header, String value) {
        noticeValue = value;
        noticeHeader = header;
    }

    /**
     * Return the requests that the runner has begun to execute.
     *
     * @return the ids of the requests, in order
     */
    public List<String> runs() {
        return List.copyOf(runs);
    }

    /**
     * Return the headers of the last request.
     *
     * @return one line for each header field, in the order of their names
     */
    public String lastHeaders() {
        return lastHeaders;
    }

    /**
     * Return the number of requests that the runner turned away because it was at capacity.
     *
     * @return the number of requests
     */
    public int turnedAway() {
        return turnedAway.get();
    }

    /**
     * Return the models that the runner holds.
     *
     * @return the names of the models
     */
    public Set<String> models() {
        return new TreeSet<>(models);
    }

    /**
     * Return the entry with which the runner registers itself in the directory.
     *
     * @param service the name of its service
     * @param state the state, ready or draining
     * @return the entry as JSON
     */
    public String entry(String service, String state) {
        ObjectNode entry = Json.object();
        entry.put("service", service).put("address", address()).put("zone", "z1");
        entry.put("version", softwareVersion)
                .put("slots", 8)
                .put("state", state)
                .put("born", startedAtMillis);
        putModels(entry);
        return entry.toString();
    }

    private void putModels(ObjectNode node) {
        var list = node.putArray("models");
        models.forEach(
                model -> list.addObject().put("name", model).put("version", 1).putArray("adapters"));
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        connections.add(exchange.getConnection());
        if (crashed.get()) {
            IoUtils.safeClose(exchange.getConnection());
        } else if (path.equals("/report")) {
            Responses.json(exchange, OK, report());
        } else if (path.equals("/order")) {
            handleOrder(exchange, new String(body, StandardCharsets.UTF_8));
        } else if (path.equals("/health")) {
            handleHealthCheck(exchange);
        } else {
            handleRequest(exchange);
        }
    }

    /** Answer for whichever incarnation runs: the header has its identifier, and the body may state its start. */
    private void handleHealthCheck(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(INSTANCE_ID, id);
        Responses.text(
                exchange,
                OK,
                startInHealthChecks ? Json.object().put("born", startedAtMillis).toString() : "");
    }

    private String report() {
        ObjectNode report = Json.object();
        report.put("stage", "unified")
                .put("busy", false)
                .put("seq", sequence.get())
                .put("queue-depth", 0);
        report.put("active", 0).put("kv-used", 0).put("kv-total", 1_000).put("born", startedAtMillis);
        putModels(report);
        return report.toString();
    }

    private void handleOrder(HttpServerExchange exchange, String text) {
        boolean isCurrent = text.contains("\"precondition\":" + sequence.get() + ",");
        if (!isCurrent) {
            Responses.text(exchange, CONFLICT, "another sequence");
            return;
        }
        String model = text.replaceAll(".*\"model\":\"([^\"]*)\".*", "$1");
        if (text.contains("\"operation\":\"load\"")) {
            models.add(model);
        } else {
            models.remove(model);
        }
        sequence.incrementAndGet();
        Responses.text(exchange, ACCEPTED, "");
    }

    private void handleRequest(HttpServerExchange exchange) {
        lastHeaders = describe(exchange.getRequestHeaders());
        String target = exchange.getRequestHeaders().getFirst("Target-Instance");
        String request = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        exchange.getResponseHeaders().put(REQUEST_ID, request);
        if (!noticeHeader.isEmpty()) {
            exchange.getResponseHeaders().put(new HttpString(noticeHeader), noticeValue);
        }
        if (fault == RunnerFault.OTHER_INCARNATION || !id.equals(target)) {
            exchange.getResponseHeaders().put(INSTANCE_ID, id + "-other");
            Responses.text(exchange, MISDIRECTED, "");
            return;
        }
        if (fault == RunnerFault.FULL) {
            turnedAway.incrementAndGet();
            exchange.getResponseHeaders().put(new HttpString("Not-Executed"), "1");
            Responses.text(exchange, UNAVAILABLE, "");
            return;
        }
        runs.add(request);
        boolean hasHarmfulPath = exchange.getRequestPath().equals(harmfulPath);
        if (hasHarmfulPart(exchange) || hasHarmfulPath && eventsBeforeCrash == 0) {
            crash();
            return;
        }
        if (fault == RunnerFault.STRAY) {
            exchange.getResponseHeaders().put(REQUEST_ID, "another");
        }
        if (fault != RunnerFault.UNATTESTED) {
            exchange.getResponseHeaders().put(SEAL, "seal");
        }
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        ResponseStream.open(exchange, stream -> {
            if (hasHarmfulPath) {
                crashWithin(stream);
                return;
            }
            exchange.getIoThread()
                    .executeAfter(
                            () -> sendEvents(stream, last == null ? 0 : Integer.parseInt(last)),
                            answerDelayMillis,
                            TimeUnit.MILLISECONDS);
        });
    }

    private static String describe(HeaderMap headers) {
        List<String> lines = new ArrayList<>();
        headers.forEach(values -> values.forEach(value -> lines.add(values.getHeaderName() + ": " + value)));
        Collections.sort(lines);
        return String.join("\n", lines);
    }

    /** Send the events that precede the crash, and crash once they had the time to leave. */
    private void crashWithin(ResponseStream stream) {
        stream.head(OK, "text/event-stream");
        for (int event = 1; event <= eventsBeforeCrash; event++) {
            stream.write(("id: " + event + "\ndata: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
        }
        CompletableFuture.delayedExecutor(EVENT_TRAVEL_MILLIS, TimeUnit.MILLISECONDS)
                .execute(this::crash);
    }

    private boolean hasHarmfulPart(HttpServerExchange exchange) {
        String prompt = exchange.getRequestHeaders().getFirst("Prompt-Prefix");
        return !harmfulPart.isEmpty() && prompt != null && prompt.contains(harmfulPart + ":");
    }

    private void crash() {
        if (crashed.compareAndSet(false, true)) {
            connections.forEach(IoUtils::safeClose);
            crashListener.run();
        }
    }

    private void sendEvents(ResponseStream stream, int lastEvent) {
        stream.head(OK, "text/event-stream");
        for (int event = lastEvent + 1; event <= EVENTS; event++) {
            if (fault == RunnerFault.CUT && event == lastEvent + 3) {
                stream.write(("id: " + event + "\nda").getBytes(StandardCharsets.UTF_8));
                stream.abort();
                return;
            }
            stream.write(("id: " + event + "\ndata: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
        }
        stream.end();
    }
}
