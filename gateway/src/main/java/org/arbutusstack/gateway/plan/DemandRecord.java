package org.arbutusstack.gateway.plan;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the demand for the models asked for most, as it is kept in the key-value service: after the loss of all
 * processes the next planner loads them before their callers wait.
 *
 * @param requests the requests in hand of each model, by service
 */
public record DemandRecord(Map<String, Map<String, Integer>> requests) {

    /** Where the record is kept. */
    public static final String KEY = "arbutus/demand";

    /** No demand. */
    static final DemandRecord EMPTY = new DemandRecord(Map.of());

    private static final Logger logger = LoggerFactory.getLogger(DemandRecord.class);

    /** Fewer requests than these do not make a model one of those asked for most. */
    private static final int LEAST_REQUESTS = 2;

    /** The models kept of a service; several times what runners load at once after a loss. */
    private static final int MOST_MODELS = 64;

    private static final int FIELDS = 3;

    /** Copies the maps. */
    public DemandRecord {
        Map<String, Map<String, Integer>> copy = new HashMap<>();
        requests.forEach((service, models) -> copy.put(service, Map.copyOf(models)));
        requests = Map.copyOf(copy);
    }

    /**
     * Keeps the models asked for most.
     *
     * @param requestsByService the smoothed requests of each model, by service
     * @return the record
     */
    static DemandRecord of(Map<String, Map<String, Double>> requestsByService) {
        Map<String, Map<String, Integer>> kept = new HashMap<>();
        requestsByService.forEach((service, models) -> {
            Map<String, Integer> most = new HashMap<>();
            models.entrySet().stream()
                    .filter(model -> Math.round(model.getValue()) >= LEAST_REQUESTS)
                    .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                    .limit(MOST_MODELS)
                    .forEach(model -> most.put(model.getKey(), (int) Math.round(model.getValue())));
            kept.put(service, most);
        });
        return new DemandRecord(kept);
    }

    /**
     * Tells whether another record is still of use in place of this one.
     *
     * @param other the other record
     * @return whether three fifths of the requests of both together are for the same models
     */
    boolean isNear(DemandRecord other) {
        Map<String, Integer> own = byKey();
        Map<String, Integer> others = other.byKey();
        Set<String> all = new HashSet<>(own.keySet());
        all.addAll(others.keySet());
        long shared = 0;
        long most = 0;
        for (String key : all) {
            int first = own.getOrDefault(key, 0);
            int second = others.getOrDefault(key, 0);
            shared += Math.min(first, second);
            most += Math.max(first, second);
        }
        return shared * 5 >= most * 3;
    }

    private Map<String, Integer> byKey() {
        Map<String, Integer> counts = new HashMap<>();
        requests.forEach(
                (service, models) -> models.forEach((model, count) -> counts.put(service + ' ' + model, count)));
        return counts;
    }

    boolean isEmpty() {
        return requests.values().stream().allMatch(Map::isEmpty);
    }

    /** Writes a line for each model: service, model and requests. */
    byte[] encode() {
        List<String> lines = new ArrayList<>();
        requests.forEach(
                (service, models) -> models.forEach((model, count) -> lines.add(service + ' ' + model + ' ' + count)));
        lines.sort(Comparator.naturalOrder());
        return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a record; lines that cannot be read are passed over.
     *
     * @param text what {@link #encode()} wrote
     * @return the record
     */
    public static DemandRecord decode(String text) {
        Map<String, Map<String, Integer>> requests = new HashMap<>();
        int unreadable = 0;
        for (String line : text.lines().toList()) {
            String[] fields = line.split(" ");
            if (fields.length == FIELDS && fields[2].matches("\\d{1,6}")) {
                requests.computeIfAbsent(fields[0], service -> new HashMap<>())
                        .put(fields[1], Integer.parseInt(fields[2]));
            } else {
                unreadable++;
            }
        }
        if (unreadable > 0) {
            logger.warn("event=demand-record-unreadable lines={}", unreadable);
        }
        return new DemandRecord(requests);
    }
}
