package org.arbutusstack.bench.deployment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.arbutusstack.bench.load.Scenario;
import org.arbutusstack.bench.report.ReportFiles;
import org.arbutusstack.bench.report.Series;
import org.arbutusstack.bench.report.SvgPlot;
import org.arbutusstack.testkit.Json;

/** Command that runs a deployment at several load levels, policies and seeds, and writes a report and a plot. */
public final class DeploymentCommand {

    private final OptionParser parser = new OptionParser();

    private final OptionSpec<String> policies = parser.accepts("policies", "the policies to compare")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .defaultsTo("CURRENT");

    private final OptionSpec<Double> loads = parser.accepts("loads", "shares of what the engines can answer")
            .withRequiredArg()
            .ofType(Double.class)
            .withValuesSeparatedBy(',')
            .defaultsTo(0.2, 0.4, 0.6, 0.8);

    private final OptionSpec<Long> seconds = parser.accepts("seconds", "seconds of each load")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(8L);

    private final OptionSpec<Long> seeds = parser.accepts("seeds", "the seeds")
            .withRequiredArg()
            .ofType(Long.class)
            .withValuesSeparatedBy(',')
            .defaultsTo(1L, 2L, 3L);

    private final OptionSpec<Scenario> scenario = parser.accepts("scenario", "how the demand moves")
            .withRequiredArg()
            .ofType(Scenario.class)
            .defaultsTo(Scenario.STEADY);

    private final OptionSpec<DeploymentFault> fault = parser.accepts("fault", "what fails at each load")
            .withRequiredArg()
            .ofType(DeploymentFault.class)
            .defaultsTo(DeploymentFault.NONE);

    /**
     * Run the deployment and write the results.
     *
     * @param arguments the name of the deployment, then the flags
     * @param files the destination of the report and the plot
     */
    public void run(String[] arguments, ReportFiles files) {
        OptionSet options = parser.parse(arguments);
        String name = options.nonOptionArguments().isEmpty()
                ? "padana"
                : options.nonOptionArguments().get(0).toString();
        Deployment deployment = Deployment.valueOf(name.toUpperCase(Locale.ROOT));
        ObjectNode report = Json.object();
        report.put("deployment", deployment.name());
        report.put("scenario", options.valueOf(scenario).name());
        report.put("fault", options.valueOf(fault).name());
        List<Series> lines = new ArrayList<>();
        DeploymentTable table = new DeploymentTable(System.out);
        for (String policy : options.valuesOf(policies)) {
            ArrayNode steps = report.putArray(policy);
            for (long seed : options.valuesOf(seeds)) {
                runSeed(deployment, Policy.valueOf(policy), seed, options, steps);
            }
            lines.add(series(policy, options.valuesOf(loads), steps));
        }
        String fileName = String.join(
                        "-",
                        "deployment",
                        name,
                        options.valueOf(scenario).name(),
                        options.valueOf(fault).name())
                .toLowerCase(Locale.ROOT)
                .replace('_', '-');
        files.writeJson(fileName, report);
        table.printHeader();
        options.valuesOf(policies)
                .forEach(policy -> table.printRows(policy, options.valuesOf(loads), (ArrayNode) report.path(policy)));
        String title = deployment + ", " + options.valueOf(scenario) + ", fault " + options.valueOf(fault);
        files.writePlot(fileName, new SvgPlot(title, "load, share of all engines", "served in time, share", lines));
    }

    private void runSeed(Deployment deployment, Policy policy, long seed, OptionSet options, ArrayNode steps) {
        File directory = new File("run/deployment/" + deployment + "-" + policy + "-" + seed);
        try (DeploymentCluster cluster = new DeploymentCluster(deployment, policy, directory)) {
            for (double load : options.valuesOf(loads)) {
                DeploymentStep step = new DeploymentStep(
                        load, options.valueOf(seconds), seed, options.valueOf(scenario), options.valueOf(fault));
                ObjectNode measured = step.run(deployment, cluster);
                steps.add(measured);
                System.out.println(policy + " " + measured);
            }
        }
    }

    private static Series series(String policy, List<Double> loads, ArrayNode steps) {
        List<Series.Point> points = new ArrayList<>();
        for (double load : loads) {
            List<Double> values = new ArrayList<>();
            steps.forEach(step -> {
                if (step.path("load").asDouble() == load) {
                    values.add(step.path("attainment").asDouble());
                }
            });
            points.add(Series.Point.of(load, values));
        }
        return new Series(policy, points);
    }
}
