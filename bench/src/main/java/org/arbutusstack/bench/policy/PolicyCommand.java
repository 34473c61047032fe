package org.arbutusstack.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.arbutusstack.bench.deployment.Deployment;
import org.arbutusstack.bench.load.Scenario;
import org.arbutusstack.bench.report.ReportFiles;
import org.arbutusstack.bench.report.Series;
import org.arbutusstack.bench.report.SvgPlot;
import org.arbutusstack.placement.PlacementWeights;

/** Command that compares policies in virtual time over seeded traces, and writes a report and plots. */
public final class PolicyCommand {

    private static final double TARGET_ATTAINMENT = 0.95;

    private final OptionParser parser = new OptionParser();

    private final OptionSpec<Double> loads = parser.accepts("loads", "shares of what the engines can answer")
            .withRequiredArg()
            .ofType(Double.class)
            .withValuesSeparatedBy(',')
            .defaultsTo(0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9);

    private final OptionSpec<Long> seeds = option("seeds", "the number of seeds", Long.class, 5L);

    private final OptionSpec<Long> seconds = option("seconds", "length of each trace", Long.class, 120L);

    private final OptionSpec<Scenario> scenario =
            option("scenario", "how the demand moves", Scenario.class, Scenario.STEADY);

    private final OptionSpec<Integer> runners =
            option("runners", "the number of runners; 0 for all of the deployment", Integer.class, 0);

    private final OptionSpec<Integer> requestsPerCopy =
            option("requests-per-copy", "as in the daemon's settings", Integer.class, 8);

    private final OptionSpec<Integer> attainmentWeight =
            option("attainment-weight", "as in the daemon's settings", Integer.class, 3);

    private final OptionSpec<Integer> moveWeight =
            option("move-weight", "as in the daemon's settings", Integer.class, 1);

    private final OptionSpec<Integer> adapterReservePercent =
            option("adapter-reserve-percent", "as in the daemon's settings", Integer.class, 10);

    private final OptionSpec<Integer> modelLoadsAtOnce =
            option("model-loads-at-once", "as in the daemon's settings", Integer.class, 4);

    private <T> OptionSpec<T> option(String name, String description, Class<T> type, T defaultValue) {
        return parser.accepts(name, description).withRequiredArg().ofType(type).defaultsTo(defaultValue);
    }

    /**
     * Run all policies, then write and print the results.
     *
     * @param arguments the name of the deployment, then the flags
     * @param files the destination of the report and the plots
     */
    public void run(String[] arguments, ReportFiles files) {
        OptionSet options = parser.parse(arguments);
        String name = options.nonOptionArguments().isEmpty()
                ? "padana"
                : options.nonOptionArguments().get(0).toString();
        Deployment deployment = Deployment.valueOf(name.toUpperCase(Locale.ROOT));
        List<PolicyResult> results = new ArrayList<>();
        List<Series> attainmentLines = new ArrayList<>();
        List<Series> changeLines = new ArrayList<>();
        for (ComparedPolicy policy : ComparedPolicy.values()) {
            List<PolicyResult> policyResults = new ArrayList<>();
            for (double load : options.valuesOf(loads)) {
                policyResults.addAll(runSeeds(deployment, policy, load, options));
            }
            attainmentLines.add(series(policy, options.valuesOf(loads), policyResults, PolicyResult::attainment));
            changeLines.add(series(policy, options.valuesOf(loads), policyResults, PolicyResult::modelChanges));
            results.addAll(policyResults);
        }
        String scenarioName = options.valueOf(scenario).name().toLowerCase(Locale.ROOT);
        String fileName = "policy-" + name + "-" + scenarioName;
        files.writeJson(fileName, results);
        String title = deployment + ", " + scenarioName;
        String horizontal = "load, share of all engines";
        files.writePlot(fileName, new SvgPlot(title, horizontal, "served in time, share", attainmentLines));
        files.writePlot(
                fileName + "-moves", new SvgPlot(title, horizontal, "loads and unloads of models", changeLines));
        print(attainmentLines, changeLines, results);
    }

    private List<PolicyResult> runSeeds(Deployment deployment, ComparedPolicy policy, double load, OptionSet options) {
        PlacementWeights weights = new PlacementWeights(
                options.valueOf(requestsPerCopy),
                options.valueOf(attainmentWeight),
                options.valueOf(moveWeight),
                options.valueOf(modelLoadsAtOnce),
                options.valueOf(adapterReservePercent));
        int count = options.valueOf(runners) == 0 ? deployment.engineRunners() : options.valueOf(runners);
        return LongStream.rangeClosed(1, options.valueOf(seeds))
                .parallel()
                .mapToObj(seed ->
                        new PolicySetup(policy, load, options.valueOf(seconds), seed, options.valueOf(scenario), count))
                .map(setup -> new PolicyRun(deployment, setup, weights).run())
                .toList();
    }

    private static Series series(
            ComparedPolicy policy,
            List<Double> loads,
            List<PolicyResult> results,
            ToDoubleFunction<PolicyResult> value) {
        List<Series.Point> points = new ArrayList<>();
        for (double load : loads) {
            List<Double> values = results.stream()
                    .filter(result -> result.load() == load)
                    .map(value::applyAsDouble)
                    .toList();
            points.add(Series.Point.of(load, values));
        }
        return new Series(policy.name(), points);
    }

    private static void print(List<Series> attainmentLines, List<Series> changeLines, List<PolicyResult> results) {
        System.out.println("| policy | load | in time: median (least, most) | model moves: median (least, most) |");
        System.out.println("|---|---|---|---|");
        for (int index = 0; index < attainmentLines.size(); index++) {
            for (int at = 0; at < attainmentLines.get(index).points().size(); at++) {
                Series.Point share = attainmentLines.get(index).points().get(at);
                Series.Point changes = changeLines.get(index).points().get(at);
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %.2f | %.3f (%.3f, %.3f) | %.0f (%.0f, %.0f) |%n",
                        attainmentLines.get(index).name(),
                        share.position(),
                        share.value(),
                        share.least(),
                        share.most(),
                        changes.value(),
                        changes.least(),
                        changes.most());
            }
        }
        attainmentLines.forEach(
                line -> System.out.println(line.name() + " falls under 95% at load " + firstLoadBelowTarget(line)));
        int fewest =
                results.stream().mapToInt(PolicyResult::fewestReachable).min().orElse(0);
        System.out.println("fewest reachable models in any run: " + fewest);
    }

    private static String firstLoadBelowTarget(Series line) {
        return line.points().stream()
                .filter(point -> point.value() < TARGET_ATTAINMENT)
                .findFirst()
                .map(point -> String.valueOf(point.position()))
                .orElse("none measured");
    }
}
