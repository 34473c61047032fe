package org.arbutusstack.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusstack.kernel.Assert;

/**
 * Selects the lines that tell what became of a request: its own, and those of the same time that say what its runners,
 * its model and the process that took it went through.
 *
 * <p>Immutable.
 */
public final class RequestStory {

    /** How long before the request's first line causes are looked for: a load of weights and a lease's life. */
    private static final long BEFORE_MILLIS = 8_000;

    /** How long after its last line: other processes notice a loss later. */
    private static final long AFTER_MILLIS = 2_000;

    /** What a process says of itself and of what it depends on. */
    private static final Set<String> PROCESS_EVENTS = Set.of(
            "started",
            "stopping",
            "stopped",
            "reload",
            "config-in-force",
            "store-lost",
            "store-regained",
            "planner-lease",
            "planner-yielded",
            "log-lines-dropped",
            "duty-failure");

    /** How a failure names the runner that it could not read from. */
    private static final Pattern ADDRESS = Pattern.compile("\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+");

    private final String requestId;

    private final List<LogLine> own = new ArrayList<>();

    private final Set<String> runners = new HashSet<>();

    private final Set<String> models = new HashSet<>();

    private final Set<String> adapters = new HashSet<>();

    private final Set<String> addresses = new HashSet<>();

    private final Set<String> sources = new HashSet<>();

    /**
     * Creates a story.
     *
     * @param requestId the caller's name for the request
     * @param lines the lines of all processes
     */
    public RequestStory(String requestId, List<LogLine> lines) {
        this.requestId = Assert.hasText(requestId, "requestId");
        for (LogLine line : lines) {
            if (line.field("request").equals(requestId)) {
                own.add(line);
                sources.add(line.source());
                note(line.field("runner"), runners);
                note(line.field("model"), models);
                note(line.field("adapter"), adapters);
                Matcher address = ADDRESS.matcher(line.field("detail"));
                while (address.find()) {
                    addresses.add(address.group());
                }
            }
        }
        lines.stream()
                .filter(line -> line.event().equals("runner-known") && addresses.contains(line.field("address")))
                .forEach(line -> note(line.field("runner"), runners));
    }

    private static void note(String value, Set<String> values) {
        if (!value.isEmpty() && !value.equals("none")) {
            values.add(value);
        }
    }

    /**
     * Tells whether any line names the request.
     *
     * @return whether one does
     */
    public boolean isKnown() {
        return !own.isEmpty();
    }

    /**
     * Selects the lines.
     *
     * @param lines the lines of all processes
     * @return the story, the earliest first
     */
    public List<LogLine> select(List<LogLine> lines) {
        long firstMillis = own.stream().mapToLong(LogLine::atMillis).min().orElse(0) - BEFORE_MILLIS;
        long lastMillis = own.stream().mapToLong(LogLine::atMillis).max().orElse(0) + AFTER_MILLIS;
        return lines.stream()
                .filter(line -> line.atMillis() >= firstMillis && line.atMillis() <= lastMillis)
                .filter(line -> isOwn(line) || line.field("request").isEmpty() && concerns(line))
                .sorted(Comparator.comparingLong(LogLine::atMillis).thenComparing(LogLine::source))
                .toList();
    }

    /**
     * Tells whether a line is the request's own.
     *
     * @param line the line
     * @return whether it names the request
     */
    public boolean isOwn(LogLine line) {
        return line.field("request").equals(requestId);
    }

    private boolean concerns(LogLine line) {
        boolean ofRunner = runners.contains(line.field("runner"));
        boolean ofModel = models.contains(line.field("load")) || isOrderForModel(line) || unloadsModel(line);
        boolean ofProcess = sources.contains(line.source())
                && (PROCESS_EVENTS.contains(line.event()) || line.event().startsWith("side-"));
        return ofRunner || ofModel || ofProcess;
    }

    /** Tells whether a line orders the model itself or an adapter that the request named. */
    private boolean isOrderForModel(LogLine line) {
        String adapter = line.field("adapter");
        return models.contains(line.field("model")) && (adapter.isEmpty() || adapters.contains(adapter));
    }

    private boolean unloadsModel(LogLine line) {
        return models.stream().anyMatch(model -> line.field("unload").contains(model));
    }
}
