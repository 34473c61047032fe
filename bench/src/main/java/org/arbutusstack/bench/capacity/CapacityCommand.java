package org.arbutusstack.bench.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.arbutusstack.bench.report.LinearFit;
import org.arbutusstack.bench.report.ReportFiles;

/** Works out the table of docs/CAPACITY.md from the reports of the slopes command. */
public final class CapacityCommand {

    private static final String CPU = "cpuPercentOfCore";

    private static final String MEMORY = "residentMb";

    private static final String BYTES = "bytesPerSecond";

    private static final String LINK_BYTES = "linkBytesPerSecond";

    private static final String READS = "storeReadsPerSecond";

    private static final double TOKENS_MEASURED = 24;

    private static final double SECONDS_PER_DAY = 86_400;

    private static final double BYTES_PER_KB = 1_000;

    private final List<CapacityRow> rows = new ArrayList<>();

    /**
     * Runs the command.
     *
     * @param files where the reports of the slopes are, and takes the table
     */
    public void run(ReportFiles files) {
        SlopeReports reports = new SlopeReports(Path.of(files.directory().toString()));
        entry(reports);
        side(reports);
        store(reports);
        files.json("capacity", rows);
        System.out.println("| role | what | from the slopes | at the planned size | verdict |");
        System.out.println("|---|---|---|---|---|");
        rows.forEach(row -> System.out.println(row.markdown()));
    }

    private void entry(SlopeReports reports) {
        double links = PlannedSize.sidesPerRegion();
        double hosts = PlannedSize.ENTRIES + PlannedSize.SIDES;
        row(
                "entry",
                "control, % of a core, idle",
                "links",
                reports.fit("entry-links-idle", CPU),
                links,
                PlannedSize.CONTROL_CPU_PERCENT);
        row(
                "entry",
                "control, % of a core, loaded",
                "links",
                reports.fit("entry-links-loaded", CPU),
                links,
                PlannedSize.CONTROL_CPU_PERCENT);
        kilobytes("entry", "link KB/s, idle", "links", reports.fit("entry-links-idle", LINK_BYTES), links);
        kilobytes("entry", "link KB/s, loaded", "links", reports.fit("entry-links-loaded", LINK_BYTES), links);
        kilobytes("entry", "host list and key-value KB/s", "hosts", reports.fit("hosts", BYTES), hosts);
        LinearFit tickets = reports.fit("tickets", MEMORY);
        double besides = reports.fit("entry-links-loaded", MEMORY).slope() * links
                + reports.fit("models", MEMORY).slope() * PlannedSize.MODELS
                + reports.fit("hosts", MEMORY).slope() * hosts;
        LinearFit memory = new LinearFit(tickets.intercept() + besides, tickets.slope());
        row(
                "entry",
                "memory, MB, after a day of tickets",
                "tickets",
                memory,
                PlannedSize.TICKETS_PER_DAY,
                PlannedSize.CONTROL_MEMORY_MB);
        row("entry", "memory, MB, without old tickets", "tickets", memory, 0, PlannedSize.CONTROL_MEMORY_MB);
        double tokens = PlannedSize.TOKENS_PER_SECOND / PlannedSize.ENTRIES / TOKENS_MEASURED;
        LinearFit requests = reports.fit("entry-requests", CPU);
        row("entry", "answers, % of a core", "answers of 24 tokens a second", requests, tokens, Double.MAX_VALUE);
    }

    private void side(SlopeReports reports) {
        double links = PlannedSize.entriesPerRegion();
        row(
                "side",
                "control, % of a core",
                "links",
                reports.fit("side-links", CPU),
                links,
                PlannedSize.CONTROL_CPU_PERCENT);
        kilobytes("side", "link KB/s, idle", "links", reports.fit("side-links", LINK_BYTES), links);
        LinearFit tickets = reports.fit("tickets", MEMORY);
        double besides = reports.fit("side-links", MEMORY).at(links);
        row(
                "side",
                "memory, MB, after a day of tickets",
                "tickets",
                new LinearFit(besides, tickets.slope()),
                PlannedSize.TICKETS_PER_DAY,
                PlannedSize.CONTROL_MEMORY_MB);
        row(
                "side",
                "memory, MB, without old tickets",
                "links",
                reports.fit("side-links", MEMORY),
                links,
                PlannedSize.CONTROL_MEMORY_MB);
        double tokens = PlannedSize.TOKENS_PER_SECOND / PlannedSize.SIDES / TOKENS_MEASURED;
        LinearFit requests = reports.fit("side-requests", CPU);
        row("side", "answers, % of a core", "answers of 24 tokens a second", requests, tokens, Double.MAX_VALUE);
    }

    private void store(SlopeReports reports) {
        double readsEach = reports.fit("models", READS).intercept();
        LinearFit reads = new LinearFit(0, readsEach);
        row(
                "key-value service",
                "reads a second, idle, one service",
                "entries",
                reads,
                PlannedSize.ENTRIES,
                PlannedSize.STORE_READS_PER_SECOND);
        LinearFit perTicket = reports.fit("tickets", "storeWritesPerTicket");
        LinearFit writes = new LinearFit(0, perTicket.at(0) / SECONDS_PER_DAY);
        row(
                "key-value service",
                "writes a second for tickets",
                "tickets a day",
                writes,
                PlannedSize.TICKETS_PER_DAY,
                PlannedSize.STORE_WRITES_PER_SECOND);
    }

    private void kilobytes(String role, String what, String unit, LinearFit fit, double size) {
        LinearFit kilobytes = new LinearFit(fit.intercept() / BYTES_PER_KB, fit.slope() / BYTES_PER_KB);
        row(role, what, unit, kilobytes, size, PlannedSize.CONTROL_BYTES_PER_SECOND / BYTES_PER_KB);
    }

    private void row(String role, String what, String unit, LinearFit fit, double size, double limit) {
        double breaksAt = (limit - fit.intercept()) / fit.slope();
        String breaks = breaksAt > 0
                ? String.format(Locale.ROOT, "reached at %.0f %s", breaksAt, unit)
                : "above it at any number of " + unit;
        String formula = String.format(Locale.ROOT, "%.4g + %.4g x %.0f %s", fit.intercept(), fit.slope(), size, unit);
        double given = limit == Double.MAX_VALUE ? Double.POSITIVE_INFINITY : limit;
        rows.add(new CapacityRow(role, what, formula, fit.at(size), given, breaks));
    }
}
