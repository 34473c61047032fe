package org.arbutusstack.ctl.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds one line that a process logged.
 *
 * @param atMillis the time of day at the process
 * @param source names the process: its host if the collector wrote it before the line, else the file
 * @param event what happened
 * @param fields the line's keys and values after the event, in order
 */
public record LogLine(long atMillis, String source, String event, Map<String, String> fields) {

    /** What a collector may have written before the line: a time, then the host. */
    private static final Pattern COLLECTED = Pattern.compile("^\\s*-?\\d+\\.\\d+\\s+(\\S+)\\s+time=");

    private static final Pattern FIELD = Pattern.compile("(\\w+)=(?:\"([^\"]*)\"|(\\S*))");

    /** Keeps the order of the fields. */
    public LogLine {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Reads a line.
     *
     * @param text the line
     * @param file names the file that it stands in
     * @return the line, or empty if no process of ours wrote it
     */
    public static Optional<LogLine> read(String text, String file) {
        Matcher collected = COLLECTED.matcher(text);
        String source = collected.find() ? collected.group(1) : file;
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(text);
        while (field.find()) {
            fields.putIfAbsent(field.group(1), field.group(2) == null ? field.group(3) : field.group(2));
        }
        if (!fields.containsKey("time") || !fields.containsKey("event")) {
            return Optional.empty();
        }
        try {
            long atMillis = Instant.parse(fields.get("time")).toEpochMilli();
            String event = fields.get("event");
            fields.keySet()
                    .removeIf(key -> key.equals("time")
                            || key.equals("event")
                            || key.equals("level")
                            || key.equals("thread")
                            || key.equals("logger"));
            return Optional.of(new LogLine(atMillis, source, event, fields));
        } catch (DateTimeParseException noTime) {
            return Optional.empty();
        }
    }

    /**
     * Tells the value of a key.
     *
     * @param key the key
     * @return the value; empty if the line does not have the key
     */
    public String field(String key) {
        return fields.getOrDefault(key, "");
    }
}
