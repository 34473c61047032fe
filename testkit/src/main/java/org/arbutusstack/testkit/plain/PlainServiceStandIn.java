package org.arbutusstack.testkit.plain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;

/**
 * Stand-in for a plain service. It executes every call, including duplicates, and counts the executions of each
 * idempotency key.
 *
 * <p>{@code GET /executions} returns the counts. {@code POST /fault} with {@code delay_millis} delays the answers.
 * Thread-safe.
 */
public final class PlainServiceStandIn extends AbstractStandIn {

    private static final String KEY_HEADER = "Idempotency-Key";

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    private volatile long delayMillis;

    /**
     * Create a stand-in.
     *
     * @param port the port to listen on; zero for any free port
     */
    public PlainServiceStandIn(int port) {
        super(port);
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        switch (path) {
            case "/fault" -> setFault(exchange, body);
            case "/executions" -> Responses.json(exchange, OK, Json.write(executions));
            case "/load" -> Responses.json(exchange, OK, "{}");
            default -> execute(exchange, path);
        }
    }

    private void setFault(HttpServerExchange exchange, byte[] body) {
        delayMillis = Json.read(body).path("delay_millis").asLong();
        Responses.json(exchange, OK, "{}");
    }

    private void execute(HttpServerExchange exchange, String path) {
        String key = exchange.getRequestHeaders().getFirst(KEY_HEADER);
        int count = executions
                .computeIfAbsent(key == null ? "" : key, absent -> new AtomicInteger())
                .incrementAndGet();
        ObjectNode answer = Json.object();
        answer.put("path", path);
        answer.put("key", key);
        answer.put("execution", count);
        byte[] json = Json.write(answer);
        ResponseStream.open(exchange, stream -> exchange.getIoThread()
                .executeAfter(() -> Responses.json(exchange, OK, json), delayMillis, TimeUnit.MILLISECONDS));
    }

    /**
     * Return how often a call was executed.
     *
     * @param key the idempotency key of the call
     * @return the number of executions
     */
    public int executions(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Return the maximum number of executions of any key.
     *
     * @return the maximum; zero if no call was executed
     */
    public int maxExecutions() {
        return executions.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
    }
}
