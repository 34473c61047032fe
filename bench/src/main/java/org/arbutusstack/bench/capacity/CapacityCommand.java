package org.arbutusstack.bench.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.arbutusstack.bench.report.LinearFit;
import org.arbutusstack.bench.report.ReportFiles;

/** Command that computes the table of docs/CAPACITY.md from the reports of the slopes command. */
public final class CapacityCommand {

    private static final String CPU = "cpuPercentOfCore";

    private static final String MEMORY = "residentMb";

    private static final String BYTES = "bytesPerSecond";

    private static final String LINK_BYTES = "linkBytesPerSecond";

    private static final String READS = "storeReadsPerSecond";

    private static final double TOKENS_PER_MEASURED_ANSWER = 24;

    private static final double SECONDS_PER_DAY = 86_400;

    private static final double BYTES_PER_KB = 1_000;

    private final List<CapacityRow> rows = new ArrayList<>();

    /**
     * Compute the capacity table, write it as JSON and print it as Markdown.
     *
     * @param files the directory that holds the reports of the slopes command and receives the table
     */
    public void run(ReportFiles files) {
        SlopeReports reports = new SlopeReports(Path.of(files.directory().toString()));
        addEntryRows(reports);
        addSideRows(reports);
        addStoreRows(reports);
        files.writeJson("capacity", rows);
        System.out.println("| role | what | from the slopes | at the planned size | verdict |");
        System.out.println("|---|---|---|---|---|");
        rows.forEach(row -> System.out.println(row.markdown()));
    }

    private void addEntryRows(SlopeReports reports) {
        double links = PlannedSize.sidesPerRegion();
        double hosts = PlannedSize.ENTRIES + PlannedSize.SIDES;
        addRow(
                "entry",
                "control, % of a core, idle",
                "links",
                reports.fit("entry-links-idle", CPU),
                links,
                PlannedSize.CONTROL_CPU_PERCENT);
        addRow(
                "entry",
                "control, % of a core, loaded",
                "links",
                reports.fit("entry-links-loaded", CPU),
                links,
                PlannedSize.CONTROL_CPU_PERCENT);
        addKilobytesRow("entry", "link KB/s, idle", "links", reports.fit("entry-links-idle", LINK_BYTES), links);
        addKilobytesRow("entry", "link KB/s, loaded", "links", reports.fit("entry-links-loaded", LINK_BYTES), links);
        addKilobytesRow("entry", "host list and key-value KB/s", "hosts", reports.fit("hosts", BYTES), hosts);
        LinearFit tickets = reports.fit("tickets", MEMORY);
        double otherMemoryMb = reports.fit("entry-links-loaded", MEMORY).slope() * links
                + reports.fit("models", MEMORY).slope() * PlannedSize.MODELS
                + reports.fit("hosts", MEMORY).slope() * hosts;
        LinearFit memory = new LinearFit(tickets.intercept() + otherMemoryMb, tickets.slope());
        addRow(
                "entry",
                "memory, MB, after a day of tickets",
                "tickets",
                memory,
                PlannedSize.TICKETS_PER_DAY,
                PlannedSize.CONTROL_MEMORY_MB);
        addRow("entry", "memory, MB, without old tickets", "tickets", memory, 0, PlannedSize.CONTROL_MEMORY_MB);
        double answersPerSecond = PlannedSize.TOKENS_PER_SECOND / PlannedSize.ENTRIES / TOKENS_PER_MEASURED_ANSWER;
        LinearFit requests = reports.fit("entry-requests", CPU);
        addRow(
                "entry",
                "answers, % of a core",
                "answers of 24 tokens a second",
                requests,
                answersPerSecond,
                Double.MAX_VALUE);
    }

    private void addSideRows(SlopeReports reports) {
        double links = PlannedSize.entriesPerRegion();
        addRow(
                "side",
                "control, % of a core",
                "links",
                reports.fit("side-links", CPU),
                links,
                PlannedSize.CONTROL_CPU_PERCENT);
        addKilobytesRow("side", "link KB/s, idle", "links", reports.fit("side-links", LINK_BYTES), links);
        LinearFit tickets = reports.fit("tickets", MEMORY);
        double otherMemoryMb = reports.fit("side-links", MEMORY).at(links);
        addRow(
                "side",
                "memory, MB, after a day of tickets",
                "tickets",
                new LinearFit(otherMemoryMb, tickets.slope()),
                PlannedSize.TICKETS_PER_DAY,
                PlannedSize.CONTROL_MEMORY_MB);
        addRow(
                "side",
                "memory, MB, without old tickets",
                "links",
                reports.fit("side-links", MEMORY),
                links,
                PlannedSize.CONTROL_MEMORY_MB);
        double answersPerSecond = PlannedSize.TOKENS_PER_SECOND / PlannedSize.SIDES / TOKENS_PER_MEASURED_ANSWER;
        LinearFit requests = reports.fit("side-requests", CPU);
        addRow(
                "side",
                "answers, % of a core",
                "answers of 24 tokens a second",
                requests,
                answersPerSecond,
                Double.MAX_VALUE);
    }

    private void addStoreRows(SlopeReports reports) {
        double readsPerEntry = reports.fit("models", READS).intercept();
        LinearFit reads = new LinearFit(0, readsPerEntry);
        addRow(
                "key-value service",
                "reads a second, idle, one service",
                "entries",
                reads,
                PlannedSize.ENTRIES,
                PlannedSize.STORE_READS_PER_SECOND);
        LinearFit perTicket = reports.fit("tickets", "storeWritesPerTicket");
        LinearFit writes = new LinearFit(0, perTicket.at(0) / SECONDS_PER_DAY);
        addRow(
                "key-value service",
                "writes a second for tickets",
                "tickets a day",
                writes,
                PlannedSize.TICKETS_PER_DAY,
                PlannedSize.STORE_WRITES_PER_SECOND);
    }

    private void addKilobytesRow(String role, String what, String unit, LinearFit fit, double size) {
        LinearFit kilobytes = new LinearFit(fit.intercept() / BYTES_PER_KB, fit.slope() / BYTES_PER_KB);
        addRow(role, what, unit, kilobytes, size, PlannedSize.CONTROL_BYTES_PER_SECOND / BYTES_PER_KB);
    }

    private void addRow(String role, String what, String unit, LinearFit fit, double size, double limit) {
        double limitSize = (limit - fit.intercept()) / fit.slope();
        String breaksAt = limitSize > 0
                ? String.format(Locale.ROOT, "reached at %.0f %s", limitSize, unit)
                : "above it at any number of " + unit;
        String formula = String.format(Locale.ROOT, "%.4g + %.4g x %.0f %s", fit.intercept(), fit.slope(), size, unit);
        double reportedLimit = limit == Double.MAX_VALUE ? Double.POSITIVE_INFINITY : limit;
        rows.add(new CapacityRow(role, what, formula, fit.at(size), reportedLimit, breaksAt));
    }
}
