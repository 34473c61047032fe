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
 * Demand for the most requested models, as persisted in the key-value service, so that after the loss of all processes
 * the next planner loads these models before callers wait for them.
 *
 * @param requests the number of requests in flight by service and model
 */
public record DemandRecord(Map<String, Map<String, Integer>> requests) {

    /** Key of the record in the key-value service. */
    public static final String KEY = "arbutus/demand";

    /** Record without any demand. */
    static final DemandRecord EMPTY = new DemandRecord(Map.of());

    private static final Logger logger = LoggerFactory.getLogger(DemandRecord.class);

    /** Minimum number of requests for a model to be persisted. */
    private static final int MIN_REQUESTS = 2;

    /** Maximum number of models persisted per service; several times what runners load at once after a loss. */
    private static final int MAX_MODELS = 64;

    private static final int FIELDS = 3;

    /** Copy the maps. */
    public DemandRecord {
        Map<String, Map<String, Integer>> copy = new HashMap<>();
        requests.forEach((service, models) -> copy.put(service, Map.copyOf(models)));
        requests = Map.copyOf(copy);
    }

    /**
     * Return a record of the most requested models.
     *
     * @param requestsByService the smoothed number of requests by service and model
     * @return the record with rounded numbers
     */
    static DemandRecord of(Map<String, Map<String, Double>> requestsByService) {
        Map<String, Map<String, Integer>> selected = new HashMap<>();
        requestsByService.forEach((service, models) -> {
            Map<String, Integer> most = new HashMap<>();
            models.entrySet().stream()
                    .filter(model -> Math.round(model.getValue()) >= MIN_REQUESTS)
                    .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                    .limit(MAX_MODELS)
                    .forEach(model -> most.put(model.getKey(), (int) Math.round(model.getValue())));
            selected.put(service, most);
        });
        return new DemandRecord(selected);
    }

    /**
     * Return whether another record is similar enough to be left in place of this one.
     *
     * @param other the other record
     * @return whether at least three fifths of the requests of both records together are for the same models
     */
    boolean isSimilarTo(DemandRecord other) {
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

    /** Return whether there is no demand for any model. */
    boolean isEmpty() {
        return requests.values().stream().allMatch(Map::isEmpty);
    }

    /** Encode the record as UTF-8 text with a line for each model: service, model and number of requests. */
    byte[] encode() {
        List<String> lines = new ArrayList<>();
        requests.forEach(
                (service, models) -> models.forEach((model, count) -> lines.add(service + ' ' + model + ' ' + count)));
        lines.sort(Comparator.naturalOrder());
        return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decode a record; malformed lines are skipped and counted in the log.
     *
     * @param text the text written by {@link #encode()}
     * @return the record of the well-formed lines
     */
    public static DemandRecord decode(String text) {
        Map<String, Map<String, Integer>> requests = new HashMap<>();
        int malformed = 0;
        for (String line : text.lines().toList()) {
            String[] fields = line.split(" ");
            if (fields.length == FIELDS && fields[2].matches("\\d{1,6}")) {
                requests.computeIfAbsent(fields[0], service -> new HashMap<>())
                        .put(fields[1], Integer.parseInt(fields[2]));
            } else {
                malformed++;
            }
        }
        if (malformed > 0) {
            logger.warn("event=demand-record-unreadable lines={}", malformed);
        }
        return new DemandRecord(requests);
    }
}
