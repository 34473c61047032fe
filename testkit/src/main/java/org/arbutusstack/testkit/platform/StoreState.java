package org.arbutusstack.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.testkit.Json;

/** Items, leases and change history of the stand-in for the metadata store. Thread-safe. */
final class StoreState {

    private static final String KEY = "key";

    private static final String REVISION = "revision";

    private final TreeMap<String, ObjectNode> items = new TreeMap<>();

    private final List<ObjectNode> history = new ArrayList<>();

    private final Map<Long, Long> leaseEndsAtNanos = new HashMap<>();

    private long revision = 1;

    private long droppedRevision;

    private long lastLease;

    private long era = 1;

    private Copy copy = new Copy(Map.of(), Map.of(), revision, lastLease);

    /** Return how often the store has come back from a copy, plus one. */
    synchronized long era() {
        return era;
    }

    /** Keep a copy of the items, the leases and their counters. */
    synchronized void backUp() {
        copy = new Copy(Map.copyOf(items), Map.copyOf(leaseEndsAtNanos), revision, lastLease);
    }

    /** Go back to the last copy. What it does not hold is gone, and its counters go on from where they were. */
    synchronized void restore() {
        items.clear();
        items.putAll(copy.items);
        leaseEndsAtNanos.clear();
        leaseEndsAtNanos.putAll(copy.leaseEndsAtNanos);
        revision = copy.revision;
        lastLease = copy.lastLease;
        dropHistory();
        era++;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized long put(String key, String value, long lease) {
        revision++;
        ObjectNode item = Json.object();
        item.put(KEY, key).put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        item.put(REVISION, revision).put("created", revision).put("lease", lease);
        items.put(key, item);
        history.add(item);
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(Json.object().put(KEY, key).put(REVISION, revision).put("deleted", true));
        }
    }

    synchronized void dropHistory() {
        history.clear();
        droppedRevision = revision;
    }

    synchronized ObjectNode item(String key) {
        expireLeases();
        ObjectNode item = items.get(key);
        return item == null ? null : item.deepCopy().put("current-rev", revision);
    }

    synchronized ObjectNode page(String prefix, String after, int pageSize) {
        expireLeases();
        ObjectNode page = Json.object();
        ArrayNode list = page.putArray("items");
        boolean more = false;
        for (Map.Entry<String, ObjectNode> entry : items.tailMap(after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (list.size() == pageSize) {
                more = true;
                break;
            }
            list.add(entry.getValue());
        }
        return page.put("more-pages", more).put("current-rev", revision);
    }

    /** Return the events after a revision, or {@code null} if they were dropped or the revision is yet to come. */
    synchronized ObjectNode changes(String prefix, long after) {
        expireLeases();
        if (after < droppedRevision || after > revision) {
            return null;
        }
        ObjectNode answer = Json.object();
        ArrayNode events = answer.putArray("events");
        for (ObjectNode event : history) {
            if (event.get(REVISION).asLong() > after && event.get(KEY).asText().startsWith(prefix)) {
                events.add(event);
            }
        }
        return answer.put("current-rev", revision);
    }

    /**
     * Execute a transaction. The fields of the answer are added to {@code answer}; the return value is the HTTP status.
     */
    synchronized int transact(JsonNode body, ObjectNode answer) {
        expireLeases();
        for (JsonNode precondition : body.path("precondition")) {
            ObjectNode item = items.get(precondition.path(KEY).asText());
            long actualRevision = item == null ? 0 : item.get(REVISION).asLong();
            if (actualRevision != precondition.path(REVISION).asLong()) {
                answer.putArray("items");
                return 412;
            }
        }
        for (JsonNode set : body.path("set-keys")) {
            long lease = set.path("lease").asLong();
            if (lease != 0 && !leaseEndsAtNanos.containsKey(lease)) {
                return 404;
            }
        }
        for (JsonNode set : body.path("set-keys")) {
            byte[] value = Base64.getDecoder().decode(set.path("value").asText());
            put(
                    set.path(KEY).asText(),
                    new String(value, StandardCharsets.UTF_8),
                    set.path("lease").asLong());
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        answer.put(REVISION, revision);
        return 200;
    }

    synchronized long grant(long millis) {
        lastLease++;
        leaseEndsAtNanos.put(lastLease, System.nanoTime() + millis * 1_000_000L);
        return lastLease;
    }

    synchronized boolean renew(long lease, long millis) {
        expireLeases();
        return leaseEndsAtNanos.computeIfPresent(lease, (id, end) -> System.nanoTime() + millis * 1_000_000L) != null;
    }

    synchronized boolean endLease(long lease) {
        boolean known = leaseEndsAtNanos.remove(lease) != null;
        for (ObjectNode item : List.copyOf(items.values())) {
            if (item.get("lease").asLong() == lease) {
                remove(item.get(KEY).asText());
            }
        }
        return known;
    }

    private void expireLeases() {
        for (Map.Entry<Long, Long> lease : Map.copyOf(leaseEndsAtNanos).entrySet()) {
            if (System.nanoTime() - lease.getValue() >= 0) {
                endLease(lease.getKey());
            }
        }
    }

    /** State of the store at an earlier moment. */
    private record Copy(
            Map<String, ObjectNode> items, Map<Long, Long> leaseEndsAtNanos, long revision, long lastLease) {}
}
