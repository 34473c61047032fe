package org.arbutusstack.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.arbutusstack.audit.AuditAnchor;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditException;
import org.arbutusstack.audit.AuditFileReader;
import org.arbutusstack.audit.AuditFinding;
import org.arbutusstack.audit.AuditRecord;
import org.arbutusstack.audit.AuditReport;
import org.arbutusstack.audit.AuditVerifier;
import org.arbutusstack.audit.FindingKind;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.JsonCodec;

/** Commands that query and verify collected audit records, anchors and the ticket log. Not thread-safe. */
final class AuditCommands {

    private final EntryClient entries;

    private final Output output;

    private final Set<String> hosts;

    AuditCommands(EntryClient entries, Output output, Set<String> hosts) {
        this.entries = Assert.notNull(entries, "entries");
        this.output = Assert.notNull(output, "output");
        this.hosts = Set.copyOf(hosts);
    }

    ExitCode verify(List<Path> files) {
        return withRecords(files, (records, report) -> {
            printRuns(report);
            return printFindings(report);
        });
    }

    ExitCode request(String id, List<Path> files) {
        return withRecords(files, (records, report) -> {
            List<AuditRecord> found = select(records, event -> id.equals(requestOf(event)));
            if (found.isEmpty()) {
                output.printError("no record of request " + id + " stands in the files");
                return ExitCode.REFUSED;
            }
            printRecords(found);
            return printFindings(narrow(report, found));
        });
    }

    ExitCode change(String number, List<Path> files) {
        Optional<HttpReply> reply = entries.send(HttpCall.get("/tickets/" + number));
        if (reply.isEmpty()) {
            return ExitCode.UNREACHABLE;
        }
        if (!reply.get().isSuccess()) {
            return output.printRefusal(reply.get());
        }
        JsonNode ticket = Output.parse(reply.get());
        output.printJson(ticket);
        if (files.isEmpty()) {
            return ExitCode.DONE;
        }
        long sequence = ticket.path("sequence").asLong();
        long ticketNumber = ticket.path("number").asLong();
        return withRecords(files, (records, report) -> {
            List<AuditRecord> found = new ArrayList<>(select(records, event -> isSubmission(event, ticketNumber)));
            found.addAll(firstInForce(records, sequence));
            printRecords(found);
            return printFindings(narrow(report, found));
        });
    }

    private static String requestOf(AuditEvent event) {
        if (event instanceof AuditEvent.RequestEnded ended) {
            return ended.request();
        }
        return event instanceof AuditEvent.WorkEnded work ? work.request() : "";
    }

    private static boolean isSubmission(AuditEvent event, long number) {
        return event instanceof AuditEvent.TicketSubmitted submitted && submitted.ticket() == number;
    }

    /** Return the first record of each process run that shows the sequence in force. */
    private static List<AuditRecord> firstInForce(List<AuditRecord> records, long sequence) {
        Map<String, AuditRecord> firstByRun = new TreeMap<>();
        for (AuditRecord record : records) {
            boolean reached =
                    record.event() instanceof AuditEvent.TicketInForce inForce && inForce.sequence() >= sequence;
            if (reached) {
                firstByRun.putIfAbsent(runKey(record), record);
            }
        }
        return List.copyOf(firstByRun.values());
    }

    private static List<AuditRecord> select(List<AuditRecord> records, Predicate<AuditEvent> condition) {
        return records.stream().filter(record -> condition.test(record.event())).toList();
    }

    private static String runKey(AuditRecord record) {
        return record.process() + "/" + record.incarnation();
    }

    /** Restrict a report to the process runs that the records belong to. */
    private static AuditReport narrow(AuditReport report, List<AuditRecord> records) {
        Set<String> runs = new LinkedHashSet<>();
        records.forEach(record -> runs.add(runKey(record)));
        return new AuditReport(report.runs().stream()
                .filter(run -> runs.contains(run.process() + "/" + run.incarnation()))
                .toList());
    }

    private ExitCode withRecords(List<Path> files, Query query) {
        AuditFileReader.Collected collected;
        try {
            collected = AuditFileReader.read(files);
        } catch (AuditException failure) {
            output.printError(failure.getMessage());
            return ExitCode.USAGE;
        }
        collected.malformed().forEach(line -> output.printError("no record, though it looks like one: " + line));
        Set<String> processes = new LinkedHashSet<>(hosts);
        collected.records().forEach(record -> processes.add(record.process()));
        List<AuditAnchor> anchors = new ArrayList<>();
        for (String process : processes) {
            Optional<HttpReply> reply = entries.send(HttpCall.get("/audit/anchors/" + process));
            if (reply.isEmpty() || !reply.get().isSuccess()) {
                output.printError(
                        "the anchors of " + process + " could not be read; nothing can be verified without them");
                return ExitCode.UNREACHABLE;
            }
            Output.parse(reply.get())
                    .path("anchors")
                    .forEach(node -> anchors.add(
                            JsonCodec.read(node.toString().getBytes(StandardCharsets.UTF_8), AuditAnchor.class)));
        }
        AuditReport report = new AuditVerifier().verify(collected.records(), anchors);
        ExitCode code = query.run(collected.records(), report);
        return collected.malformed().isEmpty() || code != ExitCode.DONE ? code : ExitCode.REFUSED;
    }

    private void printRuns(AuditReport report) {
        if (output.isJson()) {
            output.printJson(report.runs());
            return;
        }
        List<List<String>> rows = new ArrayList<>();
        for (AuditReport.Run run : report.runs()) {
            AuditAnchor anchor = run.anchor();
            rows.add(List.of(
                    run.process(),
                    run.incarnation(),
                    Integer.toString(run.records()),
                    Long.toString(run.lastIndex()),
                    anchor == null ? "none" : Long.toString(anchor.index()),
                    anchor != null && anchor.closed() ? "yes" : "no",
                    run.findings().isEmpty()
                            ? "verified"
                            : Integer.toString(run.findings().size())));
        }
        output.printTable(List.of("host", "run", "records", "last", "anchored to", "ended", "findings"), rows);
    }

    private void printRecords(List<AuditRecord> records) {
        for (AuditRecord record : records) {
            if (output.isJson()) {
                output.printJson(record);
                continue;
            }
            output.printLine(Instant.ofEpochMilli(record.atMillis()) + " " + runKey(record) + " record "
                    + record.index() + ": " + record.event());
        }
    }

    private ExitCode printFindings(AuditReport report) {
        for (FindingKind.Severity severity : FindingKind.Severity.values()) {
            for (AuditFinding finding : report.findings(severity)) {
                output.printLine(finding.describe());
            }
        }
        if (!report.findings(FindingKind.Severity.FAULT).isEmpty()) {
            return ExitCode.REFUSED;
        }
        output.printLine("no fault found in " + report.runs().size() + " runs");
        return ExitCode.DONE;
    }

    /** Query on the records and the report on their verification. */
    private interface Query {

        ExitCode run(List<AuditRecord> records, AuditReport report);
    }
}
