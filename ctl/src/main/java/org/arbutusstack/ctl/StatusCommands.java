package org.arbutusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;

/** Commands that show the state of runners and processes. Not thread-safe. */
final class StatusCommands {

    private final EntryClient entries;

    private final Output output;

    StatusCommands(EntryClient entries, Output output) {
        this.entries = Assert.notNull(entries, "entries");
        this.output = Assert.notNull(output, "output");
    }

    ExitCode status() {
        Optional<HttpReply> reply = entries.send(HttpCall.get("/status"));
        if (reply.isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (!reply.get().isSuccess()) {
            return output.printRefusal(reply.get());
        }
        JsonNode status = Output.parse(reply.get());
        if (output.isJson()) {
            output.printJson(status);
            return ExitCode.DONE;
        }
        output.printLine("as " + status.path("name").asText() + " sees it, at sequence "
                + status.path("sequence").asText());
        output.printLine("");
        printRunners(status.path("runners"));
        output.printLine("");
        printModels(status.path("runners"));
        return ExitCode.DONE;
    }

    private void printRunners(JsonNode runners) {
        List<List<String>> rows = new ArrayList<>();
        for (JsonNode runner : runners) {
            rows.add(List.of(
                    runner.path("name").asText(),
                    runner.path("service").asText(),
                    runner.path("zone").asText(),
                    runner.path("takesWork").asBoolean() ? "yes" : "no",
                    runner.path("sequence").asText(),
                    runner.path("memoryCommittedMb").asText() + " of "
                            + runner.path("memorySizeMb").asText(),
                    runner.path("queued").asText(),
                    runner.path("running").asText()));
        }
        output.printTable(
                List.of("runner", "service", "zone", "takes work", "sequence", "memory MiB", "queued", "running"),
                rows);
    }

    private void printModels(JsonNode runners) {
        Map<String, List<String>> runnersByModel = new TreeMap<>();
        for (JsonNode runner : runners) {
            runner.path("models").forEach(model -> runnersByModel
                    .computeIfAbsent(model.asText(), name -> new ArrayList<>())
                    .add(runner.path("name").asText()));
        }
        List<List<String>> rows = new ArrayList<>();
        runnersByModel.forEach((model, names) -> rows.add(List.of(model, String.join(" ", names))));
        output.printTable(List.of("model ready", "on"), rows);
    }

    ExitCode dump(String address) {
        Optional<HttpReply> reply = entries.sendTo(HttpTarget.parse(address), HttpCall.get("/state"));
        if (reply.isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (!reply.get().isSuccess()) {
            return output.printRefusal(reply.get());
        }
        output.printJson(Output.parse(reply.get()));
        return ExitCode.DONE;
    }
}
