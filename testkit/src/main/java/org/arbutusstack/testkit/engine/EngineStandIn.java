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
 * Stand-in for a model engine: answers chat completions and orders, with a limited memory.
 *
 * <p>{@code POST /orders} accepts {@code order} (load, unload, load_adapter, unload_adapter, role), {@code fence},
 * {@code key} (name and version joined by an at sign) and {@code memory_mb}, and answers once the order has been
 * executed. {@code GET /load} returns the load and the resident models and adapters, {@code GET /executions} the number
 * of executions of each request, and {@code POST /fault} configures faults. A prompt that contains the crash mark
 * crashes the engine. Thread-safe.
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

    private volatile long unavailableUntilNanos = System.nanoTime();

    private volatile int crashes;

    /**
     * Create a stand-in.
     *
     * @param port the port to listen on; zero for any free port
     * @param shape the size and speed of the engine
     * @param client the client that fetches weights; unused without a weight store
     * @param weightStore the address of the weight store; {@code null} to load immediately
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
     * Return how often more memory was reserved than the engine has.
     *
     * @return the number since the start
     */
    public long memoryViolations() {
        return memory.violations();
    }

    /**
     * Return the resident models and adapters, the current and peak memory use, and the number of unloads.
     *
     * @return the JSON object of {@code GET /load} without the queue and the crashes
     */
    public JsonNode memoryState() {
        return memory.json();
    }

    /**
     * Return how often a request was executed.
     *
     * @param requestId the id of the request
     * @return the number of executions
     */
    public int executions(String requestId) {
        var count = batch.executions().get(requestId);
        return count == null ? 0 : count.get();
    }

    /**
     * Return the number of crashes.
     *
     * @return the number since the start
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Return the text that the engine generates for a prompt.
     *
     * @param model the name of the model
     * @param prompt the content of the only message of the request
     * @param tokens the number of tokens
     * @return the complete text
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
        if (System.nanoTime() - unavailableUntilNanos < 0) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        switch (path) {
            case "/v1/chat/completions" -> complete(exchange, Json.read(body));
            case "/orders" -> receiveOrder(exchange, Json.read(body));
            case "/cancel" -> cancel(exchange, Json.read(body));
            case "/load" -> sendLoad(exchange);
            case "/executions" -> Responses.json(exchange, OK, Json.write(batch.executions()));
            case "/fault" -> setFault(exchange, Json.read(body));
            default -> Responses.text(exchange, NOT_FOUND, "unknown path\n");
        }
    }

    private void setFault(HttpServerExchange exchange, JsonNode body) {
        faults.configure(body);
        Responses.json(exchange, OK, "{}");
    }

    private void cancel(HttpServerExchange exchange, JsonNode body) {
        batch.cancel(body.path("request_id").asText());
        Responses.json(exchange, OK, "{}");
    }

    private void sendLoad(HttpServerExchange exchange) {
        ObjectNode load = memory.json();
        load.put("crashes", crashes);
        batch.writeLoad(load);
        Responses.json(exchange, OK, Json.write(load));
    }

    private void complete(HttpServerExchange exchange, JsonNode body) {
        if (faults.isCrashPrompt(Generation.promptOf(body))) {
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
        boolean isValid = priority != null && priority.matches("u=[0-7].*");
        return isValid ? priority.charAt(2) - '0' : DEFAULT_URGENCY;
    }

    private void crash() {
        crashes++;
        unavailableUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(shape.restartMillis());
        batch.abortAll();
        memory.clear();
    }

    private void receiveOrder(HttpServerExchange exchange, JsonNode order) {
        if (faults.shouldLoseOrder()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        XnioExecutor thread = exchange.getIoThread();
        if (faults.shouldDuplicateOrder()) {
            thread.executeAfter(
                    () -> executeOrder(status -> {}, order), faults.duplicateOrderMillis(), TimeUnit.MILLISECONDS);
        }
        if (faults.shouldDetachOrder()) {
            thread.executeAfter(
                    () -> executeOrder(status -> {}, order), faults.lateOrderMillis(), TimeUnit.MILLISECONDS);
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        OrderAnswer answer = status -> thread.execute(() -> answerOrder(exchange, status));
        ResponseStream.open(
                exchange,
                stream -> thread.executeAfter(
                        () -> executeOrder(answer, order), faults.lateOrderMillis(), TimeUnit.MILLISECONDS));
    }

    private void executeOrder(OrderAnswer answer, JsonNode order) {
        if (System.nanoTime() - unavailableUntilNanos < 0) {
            answer.send(UNAVAILABLE);
            return;
        }
        if (shape.checksFence() && !memory.acceptFence(order.path("fence").asLong())) {
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
        memory.reserve(key, memoryMb, adapter);
        if (weightStore == null) {
            memory.markReady(key);
            answer.send(OK);
            return;
        }
        HttpCall fetch = HttpCall.post(adapter ? "/fetch/adapter" : "/fetch/model", new byte[0]);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FETCH_SECONDS);
        client.call(weightStore, fetch, deadlineNanos).whenComplete((reply, failure) -> {
            if (failure == null) {
                memory.markReady(key);
            } else {
                memory.unload(key);
            }
            answer.send(failure == null ? OK : UNAVAILABLE);
        });
    }

    private void answerOrder(HttpServerExchange exchange, int status) {
        if (faults.shouldLoseOrderAnswer()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String text = status == CONFLICT ? "old fencing number" : "status " + status;
        Responses.json(exchange, status, "{\"status\":\"" + text + "\"}");
    }

    /** Callback that receives the status of an order that was executed or refused. May be called by any thread. */
    private interface OrderAnswer {

        void send(int status);
    }

    @Override
    public void close() {
        batch.stop();
        super.close();
    }
}
