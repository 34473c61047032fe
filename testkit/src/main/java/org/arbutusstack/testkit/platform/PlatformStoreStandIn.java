package org.arbutusstack.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.Json;
import org.xnio.IoUtils;

/** Stand-in for the platform's metadata store. */
public final class PlatformStoreStandIn extends AbstractStandIn {

    private static final int NOT_FOUND = 404;

    private static final int GONE = 410;

    private static final int BUSY = 429;

    private static final int UNAVAILABLE = 503;

    private static final int PAGE_SIZE = 3;

    private static final HttpString ERA = new HttpString("Store-Era");

    private static final long POLL_MILLIS = 10;

    private static final long LEASE_MILLIS = 3_000;

    private final StoreState state = new StoreState();

    private volatile StoreFault fault = StoreFault.NONE;

    /** The era named in answers; empty to name none, and {@code null} to name the real one. */
    private volatile String namedEra;

    private final Set<ServerConnection> watching = ConcurrentHashMap.newKeySet();

    /**
     * Create an empty store.
     *
     * @param port the port to listen on; zero for any free port
     */
    public PlatformStoreStandIn(int port) {
        super(port);
    }

    /**
     * Inject a fault from now on.
     *
     * @param newFault the fault; {@link StoreFault#NONE} for normal operation
     */
    public void fault(StoreFault newFault) {
        fault = newFault;
    }

    /**
     * Write a key, as an operator or a runner would.
     *
     * @param key the key
     * @param value the value
     */
    public void put(String key, String value) {
        state.put(key, value, 0);
    }

    /**
     * Remove a key.
     *
     * @param key the key
     */
    public void remove(String key) {
        state.remove(key);
    }

    /** Drop the history of changes. Watches from an earlier revision are then refused. */
    public void dropHistory() {
        state.dropHistory();
    }

    /** Keep a copy of the present state, to which {@link #restore()} goes back. */
    public void backUp() {
        state.backUp();
    }

    /** Come back from the last copy: later writes and leases are gone, and their revisions are given out again. */
    public void restore() {
        state.restore();
    }

    /**
     * Name another era in the answers than the real one.
     *
     * @param value the value of the header; empty to send none
     */
    public void nameEra(String value) {
        namedEra = value;
    }

    /**
     * Return the store's revision.
     *
     * @return the revision of the last change
     */
    public long revision() {
        return state.revision();
    }

    /** Cut the connections of the watches that are waiting. Other calls, and watches that begin later, are answered. */
    public void cutWaitingWatches() {
        Set.copyOf(watching).forEach(IoUtils::safeClose);
    }

    /**
     * Return whether a key exists.
     *
     * @param key the key
     * @return whether it exists
     */
    public boolean holds(String key) {
        return state.item(key) != null;
    }

    @Override
    protected void handle(HttpServerExchange exchange, String path, byte[] body) {
        announceEra(exchange);
        switch (fault) {
            case DOWN -> Responses.text(exchange, UNAVAILABLE, "down");
            case BUSY -> Responses.text(exchange, BUSY, "busy");
            case SILENT -> leaveUnanswered(exchange);
            default -> answer(exchange, path, body);
        }
    }

    /** Set the era before the answer is determined: one determined in the next era would be taken for current. */
    private void announceEra(HttpServerExchange exchange) {
        String named = namedEra == null ? Long.toString(state.era()) : namedEra;
        if (!named.isEmpty() && !exchange.isResponseStarted()) {
            exchange.getResponseHeaders().put(ERA, named);
        }
    }

    /** Leave the call unanswered. Its connection stays open. */
    private static void leaveUnanswered(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
    }

    private void answer(HttpServerExchange exchange, String path, byte[] body) {
        if (path.startsWith("/kv-watch")) {
            long waitMillis = Long.parseLong(query(exchange, "wait-ms"));
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> watch(exchange, waitMillis));
            return;
        }
        ObjectNode answer = Json.object();
        int status = execute(exchange, path, Json.read(body), answer);
        if (fault == StoreFault.ANSWER_LOST) {
            leaveUnanswered(exchange);
        } else {
            Responses.json(exchange, status, answer.toString());
        }
    }

    private int execute(HttpServerExchange exchange, String path, JsonNode body, ObjectNode answer) {
        if (path.equals("/kv-key")) {
            ObjectNode item = state.item(query(exchange, "key"));
            if (item != null) {
                answer.setAll(item);
            }
            return item == null ? NOT_FOUND : OK;
        }
        if (path.equals("/kv-range")) {
            answer.setAll(state.page(query(exchange, "path-prefix"), query(exchange, "after"), PAGE_SIZE));
            return OK;
        }
        if (path.equals("/kv-txn")) {
            return state.transact(body, answer);
        }
        if (path.equals("/kv-lease")) {
            answer.put("lease", state.grant(body.path("ttl-ms").asLong())).put("ttl-ms", LEASE_MILLIS);
            return OK;
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        boolean known = path.startsWith("/kv-keep") ? state.renew(lease, LEASE_MILLIS) : state.endLease(lease);
        return known ? OK : NOT_FOUND;
    }

    private void watch(HttpServerExchange exchange, long waitMillis) {
        watching.remove(exchange.getConnection());
        if (fault == StoreFault.SILENT
                || exchange.isResponseStarted()
                || !exchange.getConnection().isOpen()) {
            return;
        }
        announceEra(exchange);
        ObjectNode changes = state.changes(query(exchange, "path-prefix"), Long.parseLong(query(exchange, "after")));
        if (changes == null) {
            Responses.text(exchange, GONE, "history dropped");
        } else if (!changes.path("events").isEmpty() || waitMillis <= 0) {
            Responses.json(exchange, OK, changes.toString());
        } else {
            watching.add(exchange.getConnection());
            exchange.getIoThread()
                    .executeAfter(() -> watch(exchange, waitMillis - POLL_MILLIS), POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }
}
