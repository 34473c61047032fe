package org.arbutusstack.ctl.explain;

import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Holds one line of the story of a request.
 *
 * @param own whether the line names the request
 * @param line what was logged
 */
public record StoryLine(boolean own, LogLine line) {

    /**
     * Describes the line for a reader.
     *
     * @return the text; a star marks the request's own lines
     */
    public String text() {
        String details = line.fields().entrySet().stream()
                .filter(field ->
                        !field.getKey().equals("request") && !field.getValue().isEmpty())
                .map(StoryLine::describe)
                .collect(Collectors.joining(" "));
        return (own ? "* " : "  ") + Instant.ofEpochMilli(line.atMillis()) + " " + line.source() + " " + line.event()
                + " " + details;
    }

    private static String describe(Map.Entry<String, String> field) {
        boolean quoted = field.getValue().contains(" ");
        return field.getKey() + "=" + (quoted ? '"' + field.getValue() + '"' : field.getValue());
    }
}
