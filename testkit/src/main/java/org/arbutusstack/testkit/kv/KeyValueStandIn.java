package org.arbutusstack.testkit.kv;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;
import org.xnio.IoUtils;

/**
 * Answers by the shape of the etcd v3 JSON gateway from memory, refuses calls above its rates, and misbehaves on order.
 *
 * <p>Faults are set by {@link #fault} or by {@code POST /fault} with {@code mode}, {@code delay_millis} and {@code
 * lose_next}; {@code GET /stats} counts the calls. Safe for use by any thread.
 */
public final class KeyValueStandIn extends AbstractStandIn {

    private static final int TOO_MANY_REQUESTS = 429;

    private static final int UNAVAILABLE = 503;

    private static final int DEFAULT_WRITES_PER_SECOND = 400;

    private static final int DEFAULT_READS_PER_SECOND = 2_000;

    private final KeyValueTable table = new KeyValueTable(System::nanoTime);

    private final CallRate writes;

    private final CallRate reads;

    private final AtomicLong refused = new AtomicLong();

    private final AtomicLong answersToLose = new AtomicLong();

    private volatile KeyValueFault mode = KeyValueFault.NONE;

    private volatile long delayMillis;

    /**
     * Creates a stand-in with the rates of the brief.
     *
     * @param port the port, zero for any free one
     */
    public KeyValueStandIn(int port) {
        this(port, DEFAULT_WRITES_PER_SECOND, DEFAULT_READS_PER_SECOND);
    }

    /**
     * Creates a stand-in.
     *
     * @param port the port, zero for any free one
     * @param writesPerSecond the writes that it takes a second
     * @param readsPerSecond the reads that it takes a second
     */
    public KeyValueStandIn(int port, int writesPerSecond, int readsPerSecond) {
        super(port);
        this.writes = new CallRate(writesPerSecond, System::nanoTime);
        this.reads = new CallRate(readsPerSecond, System::nanoTime);
    }

    /**
     * Makes the stand-in misbehave from now on.
     *
     * @param fault how
     */
    public void fault(KeyValueFault fault) {
        mode = fault;
        if (fault != KeyValueFault.NONE) {
            table.endWatches();
        }
    }

    /**
     * Delays every answer from now on.
     *
     * @param millis the delay in milliseconds
     */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /**
     * Loses the answers of the next writes after they took effect.
     *
     * @param count how many
     */
    public void loseNextAnswers(long count) {
        answersToLose.set(count);
    }

    /**
     * Counts the writes taken.
     *
     * @return the number since the start
     */
    public long writeCount() {
        return writes.count();
    }

    /**
     * Counts the reads taken, watches and renewals included.
     *
     * @return the number since the start
     */
    public long readCount() {
        return reads.count();
    }

    /**
     * Counts the calls refused above the rates.
     *
     * @return the number since the start
     */
    public long refusedCount() {
        return refused.get();
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        switch (path) {
            case "/fault" -> setFault(exchange, Json.read(body));
            case "/stats" -> sendStats(exchange);
            default -> receiveCall(exchange, path, Json.read(body));
        }
    }

    private void setFault(HttpServerExchange exchange, JsonNode body) {
        if (body.has("mode")) {
            fault(KeyValueFault.valueOf(body.path("mode").asText()));
        }
        delayMillis = body.path("delay_millis").asLong(delayMillis);
        answersToLose.set(body.path("lose_next").asLong(answersToLose.get()));
        Responses.json(exchange, OK, "{}");
    }

    private void sendStats(HttpServerExchange exchange) {
        ObjectNode stats = Json.object();
        stats.put("writes", writes.count());
        stats.put("reads", reads.count());
        stats.put("refused", refused.get());
        Responses.json(exchange, OK, Json.write(stats));
    }

    private void receiveCall(HttpServerExchange exchange, String path, JsonNode body) {
        if (mode == KeyValueFault.REFUSE) {
            Responses.json(exchange, UNAVAILABLE, "{\"error\":\"unavailable\"}");
            return;
        }
        if (mode == KeyValueFault.HANG) {
            ResponseStream.open(exchange, stream -> {});
            return;
        }
        boolean isWrite = path.equals("/v3/kv/txn") || path.equals("/v3/lease/grant") || path.endsWith("revoke");
        CallRate rate = isWrite ? writes : reads;
        if (!rate.take()) {
            refused.incrementAndGet();
            Responses.json(exchange, TOO_MANY_REQUESTS, "{\"error\":\"too many requests\"}");
            return;
        }
        if (path.equals("/v3/watch")) {
            openWatch(exchange, body.path("create_request"));
            return;
        }
        ResponseStream.open(exchange, stream -> exchange.getIoThread()
                .executeAfter(() -> answer(exchange, path, body, isWrite), delayMillis, TimeUnit.MILLISECONDS));
    }

    private void answer(HttpServerExchange exchange, String path, JsonNode body, boolean isWrite) {
        if (mode == KeyValueFault.HANG) {
            return;
        }
        ObjectNode answer =
                switch (path) {
                    case "/v3/kv/range" -> table.range(body);
                    case "/v3/kv/txn" -> table.transaction(body);
                    case "/v3/lease/grant" -> table.grant(body);
                    case "/v3/lease/keepalive" -> table.renew(body);
                    case "/v3/lease/revoke" -> table.revoke(body);
                    default -> Json.object().put("error", "unknown path " + path);
                };
        if (isWrite && losesAnswer()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        Responses.json(exchange, OK, Json.write(answer));
    }

    private boolean losesAnswer() {
        boolean counted = answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
        return counted || mode == KeyValueFault.LOSE_ANSWERS;
    }

    private void openWatch(HttpServerExchange exchange, JsonNode create) {
        ResponseStream.open(exchange, stream -> {
            stream.head(OK, "application/json");
            table.watch(create, stream);
        });
    }
}
