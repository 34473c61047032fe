package org.arbutusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.kernel.Assert;

/** Commands that submit and show tickets. Not thread-safe. */
final class TicketCommands {

    private static final long POLL_INTERVAL_MILLIS = 100;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EntryClient entries;

    private final Output output;

    private final long waitSeconds;

    TicketCommands(EntryClient entries, Output output, long waitSeconds) {
        this.entries = Assert.notNull(entries, "entries");
        this.output = Assert.notNull(output, "output");
        this.waitSeconds = waitSeconds;
    }

    ExitCode submit(Path file) {
        byte[] body;
        try {
            body = Files.readAllBytes(file);
        } catch (IOException failure) {
            output.printError("could not read " + file + ": " + failure.getMessage());
            return ExitCode.USAGE;
        }
        long startedNanos = System.nanoTime();
        Optional<HttpReply> reply = entries.send(HttpCall.post("/tickets", body));
        if (reply.isEmpty()) {
            return ExitCode.UNCERTAIN;
        }
        if (!reply.get().isSuccess()) {
            return output.printRefusal(reply.get());
        }
        JsonNode ticket = Output.parse(reply.get());
        if (!output.isJson()) {
            output.printLine("ticket " + ticket.path("number").asLong() + " accepted"
                    + (ticket.path("again").asBoolean() ? " before" : "") + " as sequence "
                    + ticket.path("sequence").asLong() + ", digest "
                    + ticket.path("digest").asText());
        }
        return awaitInForce(ticket, startedNanos);
    }

    private ExitCode awaitInForce(JsonNode accepted, long startedNanos) {
        JsonNode ticket = accepted;
        long number = accepted.path("number").asLong();
        long deadlineNanos = startedNanos + TimeUnit.SECONDS.toNanos(waitSeconds);
        while (!isInForce(ticket) && System.nanoTime() - deadlineNanos < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
            Optional<HttpReply> reply = entries.send(HttpCall.get("/tickets/" + number));
            if (reply.isPresent() && reply.get().isSuccess()) {
                ticket = Output.parse(reply.get());
            }
        }
        if (output.isJson()) {
            output.printJson(ticket);
        } else {
            double seconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) / MILLIS_PER_SECOND;
            output.printLine("in force on " + describeInForce(ticket) + " runners after " + seconds + " s");
        }
        return ExitCode.DONE;
    }

    private static boolean isInForce(JsonNode ticket) {
        long runners = ticket.path("runners").asLong();
        return runners > 0 && ticket.path("inForceOn").asLong() >= runners;
    }

    private static String describeInForce(JsonNode ticket) {
        return ticket.path("inForceOn").asLong() + " of "
                + ticket.path("runners").asLong();
    }

    ExitCode show(String number) {
        Optional<HttpReply> reply = entries.send(HttpCall.get("/tickets/" + number));
        if (reply.isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (!reply.get().isSuccess()) {
            return output.printRefusal(reply.get());
        }
        JsonNode ticket = Output.parse(reply.get());
        if (output.isJson()) {
            output.printJson(ticket);
            return ExitCode.DONE;
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("number", ticket.path("number").asText()));
        rows.add(List.of("sequence", ticket.path("sequence").asText()));
        rows.add(List.of("operator", ticket.path("operator").asText()));
        rows.add(List.of("submitted", submissionTime(ticket)));
        rows.add(List.of("accepted by", ticket.path("acceptedBy").asText()));
        rows.add(List.of("digest", ticket.path("digest").asText()));
        rows.add(List.of("chain", ticket.path("chain").asText()));
        rows.add(List.of("in force on", describeInForce(ticket) + " runners"));
        output.printTable(List.of("ticket", ""), rows);
        output.printJson(ticket.path("ticket"));
        return ExitCode.DONE;
    }

    private static String submissionTime(JsonNode ticket) {
        return Instant.ofEpochMilli(ticket.path("submittedAtMillis").asLong()).toString();
    }

    ExitCode list() {
        Optional<HttpReply> reply = entries.send(HttpCall.get("/tickets"));
        if (reply.isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (!reply.get().isSuccess()) {
            return output.printRefusal(reply.get());
        }
        JsonNode tickets = Output.parse(reply.get()).path("tickets");
        if (output.isJson()) {
            output.printJson(tickets);
            return ExitCode.DONE;
        }
        List<List<String>> rows = new ArrayList<>();
        for (JsonNode ticket : tickets) {
            rows.add(List.of(
                    ticket.path("number").asText(),
                    ticket.path("sequence").asText(),
                    ticket.path("operator").asText(),
                    submissionTime(ticket),
                    describeInForce(ticket)));
        }
        output.printTable(List.of("number", "sequence", "operator", "submitted", "in force on"), rows);
        return ExitCode.DONE;
    }
}
