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
 * Runs each call it gets, however often it gets it, and counts the runs of each idempotency key.
 *
 * <p>{@code GET /executions} shows the counts. {@code POST /fault} with {@code delay_millis} delays answers. Safe for
 * use by any thread.
 */
public final class PlainServiceStandIn extends AbstractStandIn {

    private static final String KEY_HEADER = "Idempotency-Key";

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    private volatile long delayMillis;

    /**
     * Creates a stand-in.
     *
     * @param port the port, zero for any free one
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
            default -> run(exchange, path);
        }
    }

    private void setFault(HttpServerExchange exchange, byte[] body) {
        delayMillis = Json.read(body).path("delay_millis").asLong();
        Responses.json(exchange, OK, "{}");
    }

    private void run(HttpServerExchange exchange, String path) {
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
     * Counts the runs of a key.
     *
     * @param key the idempotency key
     * @return the number of runs
     */
    public int executions(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Finds the key that ran most often.
     *
     * @return its number of runs, zero if none ran
     */
    public int maxExecutions() {
        return executions.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
    }
}
