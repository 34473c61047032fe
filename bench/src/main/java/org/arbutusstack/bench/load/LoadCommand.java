package org.arbutusstack.bench.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.arbutusstack.bench.report.ReportFiles;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;

/** Command that sends a seeded trace to entries that already run, and writes the outcomes. */
public final class LoadCommand {

    private final OptionParser parser = new OptionParser();

    private final OptionSpec<String> entries = parser.accepts("entries", "callers' addresses, joined by commas")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .required();

    private final OptionSpec<Double> rate = parser.accepts("rate", "requests a second")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(10.0);

    private final OptionSpec<Long> seconds = parser.accepts("seconds", "length of the trace")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(10L);

    private final OptionSpec<Integer> models = parser.accepts("models", "models, named model-0 and so on")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(1);

    private final OptionSpec<Integer> adapters = parser.accepts("adapters", "adapters, named adapter-0 and so on")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(0);

    private final OptionSpec<Scenario> scenario = parser.accepts("scenario", "how the demand moves")
            .withRequiredArg()
            .ofType(Scenario.class)
            .defaultsTo(Scenario.STEADY);

    private final OptionSpec<Long> seed = parser.accepts("seed", "the seed")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);

    /**
     * Send the trace, then write and print the report.
     *
     * @param arguments the flags
     * @param files the destination of the report
     */
    public void run(String[] arguments, ReportFiles files) {
        OptionSet options = parser.parse(arguments);
        Workload workload = new Workload(
                options.valueOf(rate),
                options.valueOf(seconds),
                options.valueOf(models),
                options.valueOf(adapters),
                options.valueOf(scenario));
        List<HttpTarget> targets =
                options.valuesOf(entries).stream().map(HttpTarget::parse).toList();
        try (UndertowHttpClient client = new UndertowHttpClient("load", 2)) {
            List<Arrival> trace = TraceFactory.of(options.valueOf(seed), options.valueOf(seed), workload);
            ObjectNode report = new LoadGenerator(client, targets).run(trace).json();
            files.writeJson("load", report);
            System.out.println(report.toPrettyString());
        }
    }
}
