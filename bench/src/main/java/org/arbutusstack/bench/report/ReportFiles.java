package org.arbutusstack.bench.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.arbutusstack.testkit.Json;

/**
 * Writer of reports and plots into one directory.
 *
 * @param directory the directory, created if missing
 */
public record ReportFiles(Path directory) {

    /**
     * Write a report as JSON.
     *
     * @param name the name of the file without its suffix
     * @param report the report
     */
    public void writeJson(String name, Object report) {
        String pretty = Json.read(Json.write(report)).toPrettyString();
        write(name + ".json", pretty + "\n");
    }

    /**
     * Write a plot as SVG.
     *
     * @param name the name of the file without its suffix
     * @param plot the plot
     */
    public void writePlot(String name, SvgPlot plot) {
        write(name + ".svg", plot.svg());
    }

    private void write(String name, String text) {
        try {
            Files.createDirectories(directory);
            Files.write(directory.resolve(name), text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not write " + name, failure);
        }
    }
}
