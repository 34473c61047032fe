package org.arbutusstack.ctl.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Command that reads collected log files and shows the timeline of a request. Not thread-safe. */
public final class ExplainCommand {

    private ExplainCommand() {}

    /**
     * Select the log lines that explain the outcome of a request.
     *
     * @param requestId the caller's identifier of the request
     * @param files the collected log files
     * @return the entries of the timeline in order of time; empty if no line names the request
     * @throws IOException if a file cannot be opened
     */
    public static List<TimelineEntry> explain(String requestId, List<Path> files) throws IOException {
        List<LogLine> lines = read(files);
        RequestTimeline timeline = new RequestTimeline(requestId, lines);
        if (!timeline.isKnown()) {
            return List.of();
        }
        return timeline.select(lines).stream()
                .map(line -> new TimelineEntry(timeline.isOwn(line), line))
                .toList();
    }

    private static List<LogLine> read(List<Path> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            String name = file.getFileName().toString();
            try (Stream<String> texts = Files.lines(file, StandardCharsets.UTF_8)) {
                texts.forEach(text -> LogLine.parse(text, name).ifPresent(lines::add));
            }
        }
        return lines;
    }
}
