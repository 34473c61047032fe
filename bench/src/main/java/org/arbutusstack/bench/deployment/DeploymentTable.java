package org.arbutusstack.bench.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.bench.report.Series;

/** A Markdown table of the steps of each policy: medians over the seeds, some with minimum and maximum in brackets. */
final class DeploymentTable {

    private final PrintStream out;

    DeploymentTable(PrintStream out) {
        this.out = out;
    }

    void printHeader() {
        out.println("| policy | load | seeds | in time | per accelerator and second | first token ms p50/p95/p99 |"
                + " between tokens ms p50/p95/p99 | model loads, unloads | adapter loads, unloads | fewest reachable |"
                + " not in time | machine load |");
        out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
    }

    void printRows(String policy, List<Double> loads, ArrayNode steps) {
        for (double load : loads) {
            List<JsonNode> stepsAtLoad = new ArrayList<>();
            steps.forEach(step -> {
                if (step.path("load").asDouble() == load) {
                    stepsAtLoad.add(step);
                }
            });
            printRow(policy, load, stepsAtLoad);
        }
    }

    private void printRow(String policy, double load, List<JsonNode> steps) {
        out.printf(
                Locale.ROOT,
                "| %s | %.2f | %d | %s | %s | %s | %s | %s, %s | %s, %s | %s | %s | %s |%n",
                policy,
                load,
                steps.size(),
                medianWithSpread(steps, "%.3f", "/attainment"),
                medianWithSpread(steps, "%.2f", "/in_time_per_accelerator_per_second"),
                percentiles(steps, "/first_token_millis"),
                percentiles(steps, "/between_tokens_millis"),
                median(steps, "%.0f", "/moves/modelLoads"),
                median(steps, "%.0f", "/moves/modelUnloads"),
                median(steps, "%.0f", "/moves/adapterLoads"),
                median(steps, "%.0f", "/moves/adapterUnloads"),
                steps.stream()
                        .mapToInt(step -> step.path("fewest_reachable_models").asInt())
                        .min()
                        .orElse(0),
                failureReasons(steps),
                median(steps, "%.0f", "/machine_load"));
    }

    private static Series.Point pointOf(List<JsonNode> steps, String path) {
        return Series.Point.of(
                0, steps.stream().map(step -> step.at(path).asDouble()).toList());
    }

    private static String median(List<JsonNode> steps, String pattern, String path) {
        return String.format(Locale.ROOT, pattern, pointOf(steps, path).value());
    }

    private static String medianWithSpread(List<JsonNode> steps, String pattern, String path) {
        Series.Point point = pointOf(steps, path);
        String patternWithSpread = pattern + " (" + pattern + ", " + pattern + ")";
        return String.format(Locale.ROOT, patternWithSpread, point.value(), point.least(), point.most());
    }

    private static String percentiles(List<JsonNode> steps, String path) {
        return median(steps, "%.0f", path + "/p50") + "/" + median(steps, "%.0f", path + "/p95") + "/"
                + median(steps, "%.0f", path + "/p99");
    }

    private static String failureReasons(List<JsonNode> steps) {
        Map<String, Integer> sums = new TreeMap<>();
        for (JsonNode step : steps) {
            for (Map.Entry<String, JsonNode> reason : step.path("not_in_time").properties()) {
                sums.merge(
                        reason.getKey().toLowerCase(Locale.ROOT),
                        reason.getValue().asInt(),
                        Integer::sum);
            }
        }
        List<String> texts = new ArrayList<>();
        sums.forEach((reason, count) -> texts.add(count + " " + reason));
        return texts.isEmpty() ? "none" : String.join(", ", texts);
    }
}
