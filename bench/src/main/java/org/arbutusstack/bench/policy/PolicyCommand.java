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

/** Compares policies over seeded traces under virtual time, and writes reports and plots. */
public final class PolicyCommand {

    private static final double ATTAINED = 0.95;

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

    private final OptionSpec<Integer> attainment =
            option("attainment-weight", "as in the daemon's settings", Integer.class, 3);

    private final OptionSpec<Integer> move = option("move-weight", "as in the daemon's settings", Integer.class, 1);

    private final OptionSpec<Integer> reserve =
            option("adapter-reserve-percent", "as in the daemon's settings", Integer.class, 10);

    private final OptionSpec<Integer> modelLoads =
            option("model-loads-at-once", "as in the daemon's settings", Integer.class, 4);

    private <T> OptionSpec<T> option(String name, String description, Class<T> type, T otherwise) {
        return parser.accepts(name, description).withRequiredArg().ofType(type).defaultsTo(otherwise);
    }

    /**
     * Runs the command.
     *
     * @param arguments the deployment and its flags
     * @param files takes the reports
     */
    public void run(String[] arguments, ReportFiles files) {
        OptionSet options = parser.parse(arguments);
        String name = options.nonOptionArguments().isEmpty()
                ? "padana"
                : options.nonOptionArguments().get(0).toString();
        Deployment deployment = Deployment.valueOf(name.toUpperCase(Locale.ROOT));
        List<PolicyResult> results = new ArrayList<>();
        List<Series> attained = new ArrayList<>();
        List<Series> moved = new ArrayList<>();
        for (ComparedPolicy policy : ComparedPolicy.values()) {
            List<PolicyResult> own = new ArrayList<>();
            for (double load : options.valuesOf(loads)) {
                own.addAll(runSeeds(deployment, policy, load, options));
            }
            attained.add(series(policy, options.valuesOf(loads), own, PolicyResult::attainment));
            moved.add(series(policy, options.valuesOf(loads), own, PolicyResult::modelMoves));
            results.addAll(own);
        }
        String scenarioName = options.valueOf(scenario).name().toLowerCase(Locale.ROOT);
        String fileName = "policy-" + name + "-" + scenarioName;
        files.json(fileName, results);
        String title = deployment + ", " + scenarioName;
        String horizontal = "load, share of all engines";
        files.plot(fileName, new SvgPlot(title, horizontal, "served in time, share", attained));
        files.plot(fileName + "-moves", new SvgPlot(title, horizontal, "loads and unloads of models", moved));
        print(attained, moved, results);
    }

    private List<PolicyResult> runSeeds(Deployment deployment, ComparedPolicy policy, double load, OptionSet options) {
        PlacementWeights weights = new PlacementWeights(
                options.valueOf(requestsPerCopy),
                options.valueOf(attainment),
                options.valueOf(move),
                options.valueOf(modelLoads),
                options.valueOf(reserve));
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

    private static void print(List<Series> attained, List<Series> moved, List<PolicyResult> results) {
        System.out.println("| policy | load | in time: median (least, most) | model moves: median (least, most) |");
        System.out.println("|---|---|---|---|");
        for (int index = 0; index < attained.size(); index++) {
            for (int at = 0; at < attained.get(index).points().size(); at++) {
                Series.Point share = attained.get(index).points().get(at);
                Series.Point moves = moved.get(index).points().get(at);
                System.out.printf(
                        Locale.ROOT,
                        "| %s | %.2f | %.3f (%.3f, %.3f) | %.0f (%.0f, %.0f) |%n",
                        attained.get(index).name(),
                        share.position(),
                        share.value(),
                        share.least(),
                        share.most(),
                        moves.value(),
                        moves.least(),
                        moves.most());
            }
        }
        attained.forEach(line -> System.out.println(line.name() + " falls under 95% at load " + fallsAt(line)));
        int fewest =
                results.stream().mapToInt(PolicyResult::fewestReachable).min().orElse(0);
        System.out.println("fewest reachable models in any run: " + fewest);
    }

    private static String fallsAt(Series line) {
        return line.points().stream()
                .filter(point -> point.value() < ATTAINED)
                .findFirst()
                .map(point -> String.valueOf(point.position()))
                .orElse("none measured");
    }
}
