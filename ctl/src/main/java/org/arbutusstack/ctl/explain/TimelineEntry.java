package org.arbutusstack.ctl.explain;

import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Entry in the timeline of a request.
 *
 * @param own whether the line names the request
 * @param line the log line
 */
public record TimelineEntry(boolean own, LogLine line) {

    /**
     * Format the entry for the terminal.
     *
     * @return the text; an asterisk marks lines that name the request
     */
    public String text() {
        String details = line.fields().entrySet().stream()
                .filter(field ->
                        !field.getKey().equals("request") && !field.getValue().isEmpty())
                .map(TimelineEntry::describe)
                .collect(Collectors.joining(" "));
        return (own ? "* " : "  ") + Instant.ofEpochMilli(line.atMillis()) + " " + line.source() + " " + line.event()
                + " " + details;
    }

    private static String describe(Map.Entry<String, String> field) {
        boolean quoted = field.getValue().contains(" ");
        return field.getKey() + "=" + (quoted ? '"' + field.getValue() + '"' : field.getValue());
    }
}
