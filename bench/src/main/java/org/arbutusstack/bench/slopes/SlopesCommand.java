package org.arbutusstack.bench.slopes;

import java.io.File;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.ToDoubleFunction;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.arbutusstack.bench.report.LinearFit;
import org.arbutusstack.bench.report.ReportFiles;
import org.arbutusstack.bench.report.Series;
import org.arbutusstack.bench.report.SvgPlot;

/**
 * Command that measures a daemon at three sizes of each case, fits lines to the results, and writes reports and plots.
 */
public final class SlopesCommand {

    private final OptionParser parser = new OptionParser();

    private final OptionSpec<String> cases = parser.accepts("cases", "the cases to measure, joined by commas")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .defaultsTo(Arrays.stream(SlopeCase.values()).map(Enum::name).toArray(String[]::new));

    private final OptionSpec<Long> warmUp = parser.accepts("warm-up-seconds", "seconds before each measurement")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(8L);

    private final OptionSpec<Long> seconds = parser.accepts("seconds", "seconds of each measurement")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(12L);

    private final OptionSpec<File> logs = parser.accepts("logs", "directory for the daemons' logs")
            .withRequiredArg()
            .ofType(File.class)
            .defaultsTo(new File("run/slopes"));

    /**
     * Measure the chosen cases and write the results.
     *
     * @param arguments the flags
     * @param files the destination of the reports and plots
     */
    public void run(String[] arguments, ReportFiles files) {
        OptionSet options = parser.parse(arguments);
        SlopeWindow window = new SlopeWindow(options.valueOf(warmUp), options.valueOf(seconds));
        for (String name : options.valuesOf(cases)) {
            SlopeCase slopeCase = SlopeCase.valueOf(name);
            List<Measurement> measurements = measure(slopeCase, window, options.valueOf(logs));
            write(slopeCase, measurements, files);
        }
    }

    /** Measure all sizes of a case concurrently, each in its own cluster. */
    private static List<Measurement> measure(SlopeCase slopeCase, SlopeWindow window, File logs) {
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            List<CompletableFuture<Measurement>> futures = new ArrayList<>();
            for (int size : slopeCase.sizes()) {
                File directory = new File(logs, slopeCase + "-" + size);
                futures.add(CompletableFuture.supplyAsync(() -> measure(slopeCase, size, window, directory), executor));
            }
            return futures.stream().map(CompletableFuture::join).toList();
        } finally {
            executor.shutdownNow();
        }
    }

    private static Measurement measure(SlopeCase slopeCase, int size, SlopeWindow window, File directory) {
        try (SlopeHarness harness = new SlopeHarness(directory, window)) {
            return slopeCase.measure(size, harness);
        }
    }

    private static void write(SlopeCase slopeCase, List<Measurement> measurements, ReportFiles files) {
        Map<String, LinearFit> fits = new TreeMap<>();
        fits.put(
                "cpuPercentOfCore",
                fit(measurements, measurement -> measurement.use().cpuPercentOfCore()));
        fits.put(
                "residentMb", fit(measurements, measurement -> measurement.use().residentMb()));
        fits.put(
                "bytesPerSecond",
                fit(measurements, measurement -> measurement.use().bytesPerSecond()));
        for (String name : measurements.get(0).more().keySet()) {
            fits.put(name, fit(measurements, measurement -> measurement.more().get(name)));
        }
        String name = "slopes-" + slopeCase.name().toLowerCase(Locale.ROOT).replace('_', '-');
        Map<String, Object> report = new TreeMap<>();
        report.put("unit", slopeCase.unit());
        report.put("measured", measurements);
        report.put("fits", fits);
        files.writeJson(name, report);
        files.writePlot(name, plotOf(slopeCase, measurements));
        System.out.println(slopeCase + " per " + slopeCase.unit());
        measurements.forEach(System.out::println);
        fits.forEach(
                (what, fit) -> System.out.printf("  %s = %.4f + %.5f a unit%n", what, fit.intercept(), fit.slope()));
    }

    private static LinearFit fit(List<Measurement> measurements, ToDoubleFunction<Measurement> value) {
        List<Double> sizes = measurements.stream()
                .map(measurement -> (double) measurement.size())
                .toList();
        List<Double> values = measurements.stream().map(value::applyAsDouble).toList();
        return LinearFit.of(sizes, values);
    }

    private static SvgPlot plotOf(SlopeCase slopeCase, List<Measurement> measurements) {
        List<Series> lines = List.of(
                series(
                        "processor, % of a core",
                        measurements, measurement -> measurement.use().cpuPercentOfCore()),
                series(
                        "resident, MB / 10",
                        measurements,
                        measurement -> measurement.use().residentMb() / 10),
                series(
                        "bytes, KB/s",
                        measurements,
                        measurement -> measurement.use().bytesPerSecond() / 1_000));
        return new SvgPlot(slopeCase.name(), slopeCase.unit(), "value", lines);
    }

    private static Series series(String name, List<Measurement> measurements, ToDoubleFunction<Measurement> value) {
        return new Series(
                name,
                measurements.stream()
                        .map(measurement -> Series.Point.of(measurement.size(), value.applyAsDouble(measurement)))
                        .toList());
    }
}
