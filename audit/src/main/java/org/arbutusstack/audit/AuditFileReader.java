package org.arbutusstack.audit;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;

/** Reads collected records from files, passing over lines of other kinds. Stateless. */
public final class AuditFileReader {

    private static final String RECORD_START = "{\"process\":";

    private AuditFileReader() {}

    /**
     * Reads records.
     *
     * @param files the files, one record a line
     * @return the records and the lines that look like records and are none
     * @throws AuditException if a file cannot be read
     */
    public static Collected read(Collection<Path> files) {
        List<AuditRecord> records = new ArrayList<>();
        List<String> malformed = new ArrayList<>();
        for (Path file : files) {
            readOne(file, records, malformed);
        }
        return new Collected(records, malformed);
    }

    private static void readOne(Path file, List<AuditRecord> records, List<String> malformed) {
        try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            int number = 0;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                number++;
                if (line.startsWith(RECORD_START)) {
                    parse(file, number, line, records, malformed);
                }
            }
        } catch (IOException failure) {
            throw new AuditException("Could not read " + file, failure);
        }
    }

    private static void parse(Path file, int number, String line, List<AuditRecord> records, List<String> malformed) {
        try {
            records.add(JsonCodec.read(line.getBytes(StandardCharsets.UTF_8), AuditRecord.class));
        } catch (ModelException broken) {
            malformed.add(file + ":" + number + ": " + broken.getMessage());
        }
    }

    /**
     * Holds what was read.
     *
     * @param records the records in the order of the files
     * @param malformed the lines that look like records and are none, each with its place
     */
    public record Collected(List<AuditRecord> records, List<String> malformed) {}
}
