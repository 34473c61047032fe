package org.arbutusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.kernel.Assert;

/** Printer of answers, as tables or as JSON. Not thread-safe. */
final class Output {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String GAP = "  ";

    private static final int GATEWAY_TIMEOUT = 504;

    private static final int SERVER_ERROR = 500;

    private final PrintStream out;

    private final PrintStream err;

    private final boolean json;

    Output(PrintStream out, PrintStream err, boolean json) {
        this.out = Assert.notNull(out, "out");
        this.err = Assert.notNull(err, "err");
        this.json = json;
    }

    boolean isJson() {
        return json;
    }

    void printLine(String text) {
        out.println(text);
    }

    void printError(String text) {
        err.println("arbutusctl: " + text);
    }

    void printJson(Object value) {
        try {
            out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not print JSON", failure);
        }
    }

    static JsonNode parse(HttpReply reply) {
        try {
            return MAPPER.readTree(reply.body());
        } catch (IOException malformed) {
            throw new UncheckedIOException("Could not read the answer", malformed);
        }
    }

    /** Print a refusal and return the exit code for it. */
    ExitCode printRefusal(HttpReply reply) {
        JsonNode error = parse(reply).path("error");
        printError(error.path("reason").asText("status " + reply.status()) + ": "
                + error.path("message").asText());
        if (reply.status() == GATEWAY_TIMEOUT) {
            return ExitCode.UNCERTAIN;
        }
        return reply.status() >= SERVER_ERROR ? ExitCode.UNREACHABLE : ExitCode.REFUSED;
    }

    /** Print rows below a header, with each column as wide as its widest cell. */
    void printTable(List<String> head, List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (int column = 0; column < head.size(); column++) {
            int width = head.get(column).length();
            for (List<String> row : rows) {
                width = Math.max(width, row.get(column).length());
            }
            widths.add(width);
        }
        printRow(head, widths);
        rows.forEach(row -> printRow(row, widths));
    }

    private void printRow(List<String> cells, List<Integer> widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            String cell = cells.get(column);
            line.append(cell).append(" ".repeat(widths.get(column) - cell.length()));
            line.append(GAP);
        }
        out.println(line.toString().stripTrailing());
    }
}
