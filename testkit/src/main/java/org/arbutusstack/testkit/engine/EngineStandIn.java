package org.arbutusstack.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Answers chat completions and orders as a model engine does, from limited memory.
 *
 * <p>{@code POST /orders} takes {@code order} (load, unload, load_adapter, unload_adapter, role), {@code fence}, {@code
 * key} (name and version joined by an at sign) and {@code memory_mb}, and answers when the order is carried out. {@code
 * GET /load} tells load and residents, {@code GET /executions} the runs of each request, {@code POST /fault} sets
 * faults. A prompt with the crash mark crashes it. Safe for use by any thread.
 */
public final class EngineStandIn extends AbstractStandIn {

    private static final int NOT_FOUND = 404;

    private static final int CONFLICT = 409;

    private static final int UNAVAILABLE = 503;

    private static final int DEFAULT_URGENCY = 3;

    private static final long FETCH_SECONDS = 300;

    private final EngineShape shape;

    private final EngineMemory memory;

    private final EngineBatch batch;

    private final EngineFaults faults = new EngineFaults();

    private final HttpClient client;

    private final HttpTarget weightStore;

    private volatile long awayUntilNanos = System.nanoTime();

    private volatile int crashes;

    /**
     * Creates a stand-in.
     *
     * @param port the port, zero for any free one
     * @param shape its size and speed
     * @param client fetches weights
     * @param weightStore where weights are fetched; {@code null} to load at once
     */
    public EngineStandIn(int port, EngineShape shape, HttpClient client, HttpTarget weightStore) {
        super(port);
        this.shape = shape;
        this.memory = new EngineMemory(shape.memoryMb());
        this.batch = new EngineBatch(shape);
        this.client = client;
        this.weightStore = weightStore;
    }

    /**
     * Counts the times that more memory was taken than there is.
     *
     * @return the number since the start
     */
    public long memoryViolations() {
        return memory.violations();
    }

    /**
     * Tells what is in memory, how much of it was ever used, and how many models and adapters were unloaded.
     *
     * @return the description that {@code GET /load} gives, without the queue
     */
    public JsonNode memoryState() {
        return memory.json();
    }

    /**
     * Counts the runs of a request.
     *
     * @param requestId the request
     * @return the number of runs
     */
    public int executions(String requestId) {
        var count = batch.executions().get(requestId);
        return count == null ? 0 : count.get();
    }

    /**
     * Counts the crashes.
     *
     * @return the number since the start
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Tells the text that the engine gives for a prompt.
     *
     * @param model the model's name
     * @param prompt the content of the only message
     * @param tokens the number of tokens
     * @return the whole text
     */
    public static String expectedText(String model, String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(Generation.token(model, prompt + " ", index));
        }
        return text.toString();
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        if (System.nanoTime() - awayUntilNanos < 0) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        switch (path) {
            case "/v1/chat/completions" -> complete(exchange, Json.read(body));
            case "/orders" -> takeOrder(exchange, Json.read(body));
            case "/cancel" -> cancel(exchange, Json.read(body));
            case "/load" -> sendLoad(exchange);
            case "/executions" -> Responses.json(exchange, OK, Json.write(batch.executions()));
            case "/fault" -> setFault(exchange, Json.read(body));
            default -> Responses.text(exchange, NOT_FOUND, "unknown path\n");
        }
    }

    private void setFault(HttpServerExchange exchange, JsonNode body) {
        faults.set(body);
        Responses.json(exchange, OK, "{}");
    }

    private void cancel(HttpServerExchange exchange, JsonNode body) {
        batch.cancel(body.path("request_id").asText());
        Responses.json(exchange, OK, "{}");
    }

    private void sendLoad(HttpServerExchange exchange) {
        ObjectNode load = memory.json();
        load.put("crashes", crashes);
        batch.describe(load);
        Responses.json(exchange, OK, Json.write(load));
    }

    private void complete(HttpServerExchange exchange, JsonNode body) {
        if (faults.crashes(Generation.promptOf(body))) {
            crash();
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String model = body.path("model").asText();
        String adapter = body.path("adapter").asText("");
        if (!memory.isReadyModel(model) || !adapter.isEmpty() && !memory.isReady(adapter)) {
            Responses.json(exchange, NOT_FOUND, "{\"error\":\"model or adapter not loaded\"}");
            return;
        }
        String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
        int urgency = urgencyOf(exchange.getRequestHeaders().getFirst("Priority"));
        ResponseStream.open(
                exchange, stream -> batch.add(new Generation(String.valueOf(requestId), urgency, body, stream)));
    }

    private static int urgencyOf(String priority) {
        boolean given = priority != null && priority.matches("u=[0-7].*");
        return given ? priority.charAt(2) - '0' : DEFAULT_URGENCY;
    }

    private void crash() {
        crashes++;
        awayUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(shape.restartMillis());
        batch.crash();
        memory.clear();
    }

    private void takeOrder(HttpServerExchange exchange, JsonNode order) {
        if (faults.losesOrder()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        XnioExecutor thread = exchange.getIoThread();
        if (faults.doublesOrder()) {
            thread.executeAfter(
                    () -> carryOut(status -> {}, order), faults.doubledOrderMillis(), TimeUnit.MILLISECONDS);
        }
        if (faults.detachesOrder()) {
            thread.executeAfter(() -> carryOut(status -> {}, order), faults.lateOrderMillis(), TimeUnit.MILLISECONDS);
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        OrderAnswer answer = status -> thread.execute(() -> answerOrder(exchange, status));
        ResponseStream.open(
                exchange,
                stream -> thread.executeAfter(
                        () -> carryOut(answer, order), faults.lateOrderMillis(), TimeUnit.MILLISECONDS));
    }

    private void carryOut(OrderAnswer answer, JsonNode order) {
        if (System.nanoTime() - awayUntilNanos < 0) {
            answer.send(UNAVAILABLE);
            return;
        }
        if (shape.checksFence() && !memory.admitsFence(order.path("fence").asLong())) {
            answer.send(CONFLICT);
            return;
        }
        String key = order.path("key").asText();
        long memoryMb = order.path("memory_mb").asLong();
        switch (order.path("order").asText()) {
            case "load" -> load(answer, key, memoryMb, false);
            case "load_adapter" -> load(answer, key, memoryMb, true);
            case "unload", "unload_adapter" -> {
                memory.unload(key);
                answer.send(OK);
            }
            default -> answer.send(OK);
        }
    }

    private void load(OrderAnswer answer, String key, long memoryMb, boolean adapter) {
        memory.begin(key, memoryMb, adapter);
        if (weightStore == null) {
            memory.ready(key);
            answer.send(OK);
            return;
        }
        HttpCall fetch = HttpCall.post(adapter ? "/fetch/adapter" : "/fetch/model", new byte[0]);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FETCH_SECONDS);
        client.call(weightStore, fetch, deadlineNanos).whenComplete((reply, failure) -> {
            if (failure == null) {
                memory.ready(key);
            } else {
                memory.unload(key);
            }
            answer.send(failure == null ? OK : UNAVAILABLE);
        });
    }

    private void answerOrder(HttpServerExchange exchange, int status) {
        if (faults.losesOrderAnswer()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String text = status == CONFLICT ? "old fencing number" : "status " + status;
        Responses.json(exchange, status, "{\"status\":\"" + text + "\"}");
    }

    /** Takes the status of an order carried out or refused; may be called by any thread. */
    private interface OrderAnswer {

        void send(int status);
    }

    @Override
    public void close() {
        batch.stop();
        super.close();
    }
}
