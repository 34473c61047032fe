package org.arbutusstack.ctl.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads collected log files and tells the story of a request. To be used by one thread. */
public final class ExplainCommand {

    private ExplainCommand() {}

    /**
     * Tells the story.
     *
     * @param requestId the caller's name for the request
     * @param files the log files
     * @return the lines, the earliest first; none if no line names the request
     * @throws IOException if a file cannot be read
     */
    public static List<StoryLine> explain(String requestId, List<Path> files) throws IOException {
        List<LogLine> lines = read(files);
        RequestStory story = new RequestStory(requestId, lines);
        if (!story.isKnown()) {
            return List.of();
        }
        return story.select(lines).stream()
                .map(line -> new StoryLine(story.isOwn(line), line))
                .toList();
    }

    private static List<LogLine> read(List<Path> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            String name = file.getFileName().toString();
            try (Stream<String> texts = Files.lines(file, StandardCharsets.UTF_8)) {
                texts.forEach(text -> LogLine.read(text, name).ifPresent(lines::add));
            }
        }
        return lines;
    }
}
