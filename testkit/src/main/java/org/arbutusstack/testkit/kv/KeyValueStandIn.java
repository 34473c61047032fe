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
 * In-memory stand-in for the key-value service. It implements the part of the etcd v3 JSON gateway that the daemons
 * use, refuses calls above its rate limits and injects faults.
 *
 * <p>Faults are configured by {@link #fault} or by {@code POST /fault} with {@code mode}, {@code delay_millis} and
 * {@code lose_next}. {@code GET /stats} returns the numbers of calls. Thread-safe.
 */
public final class KeyValueStandIn extends AbstractStandIn {

    private static final int TOO_MANY_REQUESTS = 429;

    private static final int UNAVAILABLE = 503;

    private static final int DEFAULT_WRITES_PER_SECOND = 400;

    private static final int DEFAULT_READS_PER_SECOND = 2_000;

    private final KeyValueTable table = new KeyValueTable(System::nanoTime);

    private final CallRateLimiter writes;

    private final CallRateLimiter reads;

    private final AtomicLong refused = new AtomicLong();

    private final AtomicLong answersToLose = new AtomicLong();

    private volatile KeyValueFault mode = KeyValueFault.NONE;

    private volatile long delayMillis;

    /**
     * Create a stand-in with the rate limits that the system is designed for: 400 writes and 2000 reads per second.
     *
     * @param port the port to listen on; zero for any free port
     */
    public KeyValueStandIn(int port) {
        this(port, DEFAULT_WRITES_PER_SECOND, DEFAULT_READS_PER_SECOND);
    }

    /**
     * Create a stand-in.
     *
     * @param port the port to listen on; zero for any free port
     * @param writesPerSecond the maximum number of writes per second
     * @param readsPerSecond the maximum number of reads per second
     */
    public KeyValueStandIn(int port, int writesPerSecond, int readsPerSecond) {
        super(port);
        this.writes = new CallRateLimiter(writesPerSecond, System::nanoTime);
        this.reads = new CallRateLimiter(readsPerSecond, System::nanoTime);
    }

    /**
     * Inject a fault from now on. Any fault ends the open watches.
     *
     * @param fault the fault; {@link KeyValueFault#NONE} for normal operation
     */
    public void fault(KeyValueFault fault) {
        mode = fault;
        if (fault != KeyValueFault.NONE) {
            table.endWatches();
        }
    }

    /**
     * Delay every answer from now on, except those to watches.
     *
     * @param millis the delay, in milliseconds
     */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /**
     * Lose the answers to the next writes after they have taken effect.
     *
     * @param count the number of answers to lose
     */
    public void loseNextAnswers(long count) {
        answersToLose.set(count);
    }

    /**
     * Return the number of accepted writes.
     *
     * @return the number since the start
     */
    public long writeCount() {
        return writes.count();
    }

    /**
     * Return the number of accepted reads, including watches and lease renewals.
     *
     * @return the number since the start
     */
    public long readCount() {
        return reads.count();
    }

    /**
     * Return the number of calls that were refused by the rate limits.
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
        CallRateLimiter rate = isWrite ? writes : reads;
        if (!rate.tryAcquire()) {
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
        if (isWrite && shouldLoseAnswer()) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        Responses.json(exchange, OK, Json.write(answer));
    }

    private boolean shouldLoseAnswer() {
        boolean isNextToLose = answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
        return isNextToLose || mode == KeyValueFault.LOSE_ANSWERS;
    }

    private void openWatch(HttpServerExchange exchange, JsonNode create) {
        ResponseStream.open(exchange, stream -> {
            stream.head(OK, "application/json");
            table.watch(create, stream);
        });
    }
}
