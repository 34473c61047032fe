package org.arbutusstack.side;

import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.LoadFrame;
import org.arbutusstack.wire.frame.SideReportFrame;

/**
 * Limits the rate of reports to the entries: any change is reported at once, except for a change of the load alone,
 * which is reported at intervals. Confined to the side's event loop.
 */
final class ReportSchedule {

    private static final long LOAD_REPORT_INTERVAL_MILLIS = 1_000;

    private static final long QUEUE_START_REPORT_INTERVAL_MILLIS = 250;

    private final Clock clock;

    private SideReportFrame lastReport;

    private long nextReportAtNanos;

    ReportSchedule(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.nextReportAtNanos = clock.nowNanos();
    }

    /** Return the frame to send now, if any; the whole report if {@code force} is set. */
    Optional<Frame> nextFrame(SideReportFrame report, boolean force) {
        LoadFrame load = new LoadFrame(report.queued(), report.running(), report.demand());
        boolean onlyLoad = !force && lastReport != null && report.equals(lastReport.withLoad(load));
        if (onlyLoad && (report.equals(lastReport) || !isLoadDue(load))) {
            return Optional.empty();
        }
        lastReport = report;
        nextReportAtNanos = clock.deadlineNanos(LOAD_REPORT_INTERVAL_MILLIS);
        return Optional.of(onlyLoad ? load : report);
    }

    /**
     * Return whether a change of the load is due. The start of a queue is due earlier, as the entries admit more
     * requests than can run until they receive it.
     */
    private boolean isLoadDue(LoadFrame load) {
        boolean queueStarts = lastReport.queued() == 0 && load.queued() > 0;
        long advanceMillis = queueStarts ? LOAD_REPORT_INTERVAL_MILLIS - QUEUE_START_REPORT_INTERVAL_MILLIS : 0;
        return clock.isPast(nextReportAtNanos - advanceMillis * Clock.NANOS_PER_MILLI);
    }
}
