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
 * Log line of a process.
 *
 * @param atMillis the time at the process, in Unix milliseconds
 * @param source the process: its host if the collector put one before the line, otherwise the name of the file
 * @param event the value of the line's {@code event} key
 * @param fields the other keys and values of the line, in order
 */
public record LogLine(long atMillis, String source, String event, Map<String, String> fields) {

    /** The optional prefix that a collector adds to a line: a time, then the host. */
    private static final Pattern COLLECTED = Pattern.compile("^\\s*-?\\d+\\.\\d+\\s+(\\S+)\\s+time=");

    private static final Pattern FIELD = Pattern.compile("(\\w+)=(?:\"([^\"]*)\"|(\\S*))");

    /** Create a line with a copy of the fields, in their order. */
    public LogLine {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Parse a line.
     *
     * @param text the text of the line
     * @param file the name of the file with the line
     * @return the line, or empty if it has no event or no valid time and so is not a log line of this system
     */
    public static Optional<LogLine> parse(String text, String file) {
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
        } catch (DateTimeParseException invalidTime) {
            return Optional.empty();
        }
    }

    /**
     * Return the value of a key.
     *
     * @param key the key to look up
     * @return the value; empty if the line does not have the key
     */
    public String field(String key) {
        return fields.getOrDefault(key, "");
    }
}
