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

/** Reader of collected audit records from files; ignores all other lines. Stateless. */
public final class AuditFileReader {

    private static final String RECORD_START = "{\"process\":";

    private AuditFileReader() {}

    /**
     * Read the records of all given files.
     *
     * @param files the files, each with at most one record per line
     * @return the records, and the lines that start like a record but cannot be parsed
     * @throws AuditException if a file cannot be read
     */
    public static Collected read(Collection<Path> files) {
        List<AuditRecord> records = new ArrayList<>();
        List<String> malformed = new ArrayList<>();
        for (Path file : files) {
            readFile(file, records, malformed);
        }
        return new Collected(records, malformed);
    }

    private static void readFile(Path file, List<AuditRecord> records, List<String> malformed) {
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
        } catch (ModelException malformedRecord) {
            malformed.add(file + ":" + number + ": " + malformedRecord.getMessage());
        }
    }

    /**
     * Records and parse errors of a set of files.
     *
     * @param records the records in the order of the files
     * @param malformed one message for each malformed record, with file and line number
     */
    public record Collected(List<AuditRecord> records, List<String> malformed) {}
}
