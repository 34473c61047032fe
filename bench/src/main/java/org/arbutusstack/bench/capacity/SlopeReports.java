package org.arbutusstack.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.arbutusstack.bench.report.LinearFit;
import org.arbutusstack.testkit.Json;

/**
 * Access to the fitted lines in the reports of the slopes command.
 *
 * @param directory the directory of the reports
 */
record SlopeReports(Path directory) {

    LinearFit fit(String slopeCase, String value) {
        JsonNode fit = read(slopeCase).path("fits").path(value);
        if (fit.isMissingNode()) {
            throw new IllegalStateException("No fit of " + value + " in the report of slope case " + slopeCase);
        }
        return new LinearFit(fit.path("intercept").asDouble(), fit.path("slope").asDouble());
    }

    private JsonNode read(String slopeCase) {
        Path file = directory.resolve("slopes-" + slopeCase + ".json");
        try {
            return Json.read(Files.readAllBytes(file));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not read " + file, failure);
        }
    }
}
