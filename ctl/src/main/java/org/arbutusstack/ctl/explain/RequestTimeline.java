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
 * Selection of the log lines that explain the outcome of a request: the lines that name it, and the lines of the same
 * period about its runners, its model and the processes that handled it.
 *
 * <p>Immutable.
 */
public final class RequestTimeline {

    /** The period before the request's first line that may hold causes: covers a load of weights and a lease's life. */
    private static final long LOOKBACK_MILLIS = 8_000;

    /** The period after the request's last line: other processes detect a loss later. */
    private static final long LOOKAHEAD_MILLIS = 2_000;

    /** The events about a process itself and its dependencies. */
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

    /** The form in which a failure's detail names the runner that could not be read from. */
    private static final Pattern ADDRESS = Pattern.compile("\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+");

    private final String requestId;

    private final List<LogLine> own = new ArrayList<>();

    private final Set<String> runners = new HashSet<>();

    private final Set<String> models = new HashSet<>();

    private final Set<String> adapters = new HashSet<>();

    private final Set<String> addresses = new HashSet<>();

    private final Set<String> sources = new HashSet<>();

    /**
     * Create the timeline of a request.
     *
     * @param requestId the caller's identifier of the request
     * @param lines the log lines of all processes
     */
    public RequestTimeline(String requestId, List<LogLine> lines) {
        this.requestId = Assert.hasText(requestId, "requestId");
        for (LogLine line : lines) {
            if (line.field("request").equals(requestId)) {
                own.add(line);
                sources.add(line.source());
                addUnlessNone(line.field("runner"), runners);
                addUnlessNone(line.field("model"), models);
                addUnlessNone(line.field("adapter"), adapters);
                Matcher address = ADDRESS.matcher(line.field("detail"));
                while (address.find()) {
                    addresses.add(address.group());
                }
            }
        }
        lines.stream()
                .filter(line -> line.event().equals("runner-known") && addresses.contains(line.field("address")))
                .forEach(line -> addUnlessNone(line.field("runner"), runners));
    }

    private static void addUnlessNone(String value, Set<String> values) {
        if (!value.isEmpty() && !value.equals("none")) {
            values.add(value);
        }
    }

    /**
     * Return whether any log line names the request.
     *
     * @return {@code true} if at least one line names it
     */
    public boolean isKnown() {
        return !own.isEmpty();
    }

    /**
     * Select the lines that explain the outcome of the request.
     *
     * @param lines the log lines of all processes
     * @return the selected lines in order of time, then of source
     */
    public List<LogLine> select(List<LogLine> lines) {
        long firstMillis = own.stream().mapToLong(LogLine::atMillis).min().orElse(0) - LOOKBACK_MILLIS;
        long lastMillis = own.stream().mapToLong(LogLine::atMillis).max().orElse(0) + LOOKAHEAD_MILLIS;
        return lines.stream()
                .filter(line -> line.atMillis() >= firstMillis && line.atMillis() <= lastMillis)
                .filter(line -> isOwn(line) || line.field("request").isEmpty() && isRelated(line))
                .sorted(Comparator.comparingLong(LogLine::atMillis).thenComparing(LogLine::source))
                .toList();
    }

    /**
     * Return whether a line names the request.
     *
     * @param line the log line to check
     * @return {@code true} if the line has the identifier of the request
     */
    public boolean isOwn(LogLine line) {
        return line.field("request").equals(requestId);
    }

    private boolean isRelated(LogLine line) {
        boolean ofRunner = runners.contains(line.field("runner"));
        boolean ofModel = models.contains(line.field("load")) || ordersModel(line) || unloadsModel(line);
        boolean ofProcess = sources.contains(line.source())
                && (PROCESS_EVENTS.contains(line.event()) || line.event().startsWith("side-"));
        return ofRunner || ofModel || ofProcess;
    }

    /** Return whether a line is about an order for the model itself or for an adapter that the request named. */
    private boolean ordersModel(LogLine line) {
        String adapter = line.field("adapter");
        return models.contains(line.field("model")) && (adapter.isEmpty() || adapters.contains(adapter));
    }

    private boolean unloadsModel(LogLine line) {
        return models.stream().anyMatch(model -> line.field("unload").contains(model));
    }
}
