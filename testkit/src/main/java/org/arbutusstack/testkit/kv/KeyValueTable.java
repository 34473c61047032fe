package org.arbutusstack.testkit.kv;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.testkit.Json;

/** In-memory table of keys, leases and watches. Thread-safe: all methods are guarded by one lock. */
final class KeyValueTable {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final LongSupplier nowNanos;

    private final NavigableMap<String, Row> rows = new TreeMap<>();

    private final Map<Long, Lease> leases = new HashMap<>();

    private final List<Watcher> watchers = new ArrayList<>();

    private final List<Change> history = new ArrayList<>();

    private long revision = 1;

    private long nextLease = 1_000;

    KeyValueTable(LongSupplier nowNanos) {
        this.nowNanos = nowNanos;
    }

    synchronized ObjectNode range(JsonNode body) {
        expireLeases();
        ObjectNode answer = answer();
        ArrayNode list = answer.putArray("kvs");
        findRows(body).forEach((key, row) -> list.add(row.json(key)));
        answer.put("count", Integer.toString(list.size()));
        return answer;
    }

    private NavigableMap<String, Row> findRows(JsonNode body) {
        String key = decode(body.path("key").asText());
        if (!body.has("range_end")) {
            return rows.subMap(key, true, key, true);
        }
        return rows.subMap(key, true, decode(body.path("range_end").asText()), false);
    }

    synchronized ObjectNode transaction(JsonNode body) {
        expireLeases();
        ObjectNode answer;
        boolean matches = true;
        for (JsonNode compare : body.path("compare")) {
            Row row = rows.get(decode(compare.path("key").asText()));
            long actual = row == null ? 0 : row.modRevision;
            matches &= actual == compare.path("mod_revision").asLong();
        }
        if (matches) {
            revision++;
            body.path("success").forEach(this::apply);
        }
        answer = answer();
        answer.put("succeeded", matches);
        return answer;
    }

    private void apply(JsonNode operation) {
        if (operation.has("requestPut")) {
            JsonNode put = operation.path("requestPut");
            put(
                    decode(put.path("key").asText()),
                    put.path("value").asText(),
                    put.path("lease").asLong(0));
        }
        if (operation.has("requestDeleteRange")) {
            delete(decode(operation.path("requestDeleteRange").path("key").asText()));
        }
    }

    private void put(String key, String value, long lease) {
        Row old = rows.get(key);
        long created = old == null ? revision : old.createRevision;
        Row row = new Row(value, created, revision, lease);
        rows.put(key, row);
        record(new Change(revision, key, row));
    }

    private void delete(String key) {
        if (rows.remove(key) != null) {
            record(new Change(revision, key, null));
        }
    }

    private void record(Change change) {
        history.add(change);
        watchers.removeIf(watcher -> !watcher.publish(change));
    }

    synchronized ObjectNode grant(JsonNode body) {
        long ttlSeconds = body.path("TTL").asLong();
        long id = nextLease++;
        leases.put(id, new Lease(ttlSeconds, nowNanos.getAsLong() + ttlSeconds * NANOS_PER_SECOND));
        ObjectNode answer = answer();
        answer.put("ID", Long.toString(id));
        answer.put("TTL", Long.toString(ttlSeconds));
        return answer;
    }

    synchronized ObjectNode renew(JsonNode body) {
        expireLeases();
        long id = body.path("ID").asLong();
        Lease lease = leases.get(id);
        ObjectNode result = Json.object();
        result.put("ID", Long.toString(id));
        result.put("TTL", Long.toString(lease == null ? 0 : lease.ttlSeconds));
        if (lease != null) {
            leases.put(id, new Lease(lease.ttlSeconds, nowNanos.getAsLong() + lease.ttlSeconds * NANOS_PER_SECOND));
        }
        ObjectNode answer = answer();
        answer.set("result", result);
        return answer;
    }

    synchronized ObjectNode revoke(JsonNode body) {
        expire(body.path("ID").asLong());
        return answer();
    }

    private void expireLeases() {
        long now = nowNanos.getAsLong();
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> now - entry.getValue().expiresAtNanos >= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::expire);
    }

    private void expire(long id) {
        leases.remove(id);
        List<String> keys = rows.entrySet().stream()
                .filter(entry -> entry.getValue().lease == id)
                .map(Map.Entry::getKey)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
        }
    }

    synchronized void watch(JsonNode create, ResponseStream stream) {
        String key = decode(create.path("key").asText());
        String end = decode(create.path("range_end").asText());
        Watcher watcher = new Watcher(key, end, stream);
        ObjectNode created = Json.object();
        created.putObject("result").put("created", true);
        watcher.send(created);
        long from = create.path("start_revision").asLong();
        history.stream().filter(change -> change.revision >= from).forEach(watcher::publish);
        watchers.add(watcher);
    }

    synchronized void endWatches() {
        watchers.forEach(watcher -> watcher.stream.abort());
        watchers.clear();
    }

    private ObjectNode answer() {
        ObjectNode answer = Json.object();
        answer.putObject("header").put("revision", Long.toString(revision));
        return answer;
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    /** The value of a key with its revisions and lease. */
    private record Row(String value, long createRevision, long modRevision, long lease) {

        ObjectNode json(String key) {
            ObjectNode node = Json.object();
            node.put("key", Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8)));
            node.put("value", value);
            node.put("create_revision", Long.toString(createRevision));
            node.put("mod_revision", Long.toString(modRevision));
            return node;
        }
    }

    /** A lease. */
    private record Lease(long ttlSeconds, long expiresAtNanos) {}

    /** A change of one key. The row is {@code null} for a deletion. */
    private record Change(long revision, String key, Row row) {}

    /** Publishes changes to one watch. */
    private record Watcher(String key, String end, ResponseStream stream) {

        boolean publish(Change change) {
            if (change.key.compareTo(key) < 0 || change.key.compareTo(end) >= 0) {
                return !stream.isClosed();
            }
            ObjectNode event = Json.object();
            if (change.row == null) {
                event.put("type", "DELETE");
            }
            Row row = change.row == null ? new Row("", 0, change.revision, 0) : change.row;
            event.set("kv", row.json(change.key));
            ObjectNode message = Json.object();
            message.putObject("result").putArray("events").add(event);
            return send(message);
        }

        boolean send(ObjectNode message) {
            byte[] json = Json.write(message);
            byte[] line = Arrays.copyOf(json, json.length + 1);
            line[json.length] = '\n';
            return stream.write(line);
        }
    }
}
