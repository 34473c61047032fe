package org.arbutusstack.side;

import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.LoadFrame;
import org.arbutusstack.wire.frame.SideReportFrame;

/**
 * Decides what of a side's report is told to the entries: all changes at once, but of changes of nothing but the load
 * only a few. Used by the side's duty only.
 */
final class ReportSchedule {

    private static final long LOAD_REPORT_MILLIS = 1_000;

    private static final long QUEUE_REPORT_MILLIS = 250;

    private final Clock clock;

    private SideReportFrame lastReport;

    private long reportAtNanos;

    ReportSchedule(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.reportAtNanos = clock.nowNanos();
    }

    /** Chooses the frame to send now, if any; {@code always} asks for the whole report. */
    Optional<Frame> due(SideReportFrame report, boolean always) {
        LoadFrame load = new LoadFrame(report.queued(), report.running(), report.demand());
        boolean onlyLoad = !always && lastReport != null && report.equals(lastReport.withLoad(load));
        if (onlyLoad && (report.equals(lastReport) || !isLoadDue(load))) {
            return Optional.empty();
        }
        lastReport = report;
        reportAtNanos = clock.deadlineNanos(LOAD_REPORT_MILLIS);
        return Optional.of(onlyLoad ? load : report);
    }

    /** Tells sooner than else that a queue has begun, since entries admit more than can run until they know it. */
    private boolean isLoadDue(LoadFrame load) {
        boolean queueBegins = lastReport.queued() == 0 && load.queued() > 0;
        long soonerMillis = queueBegins ? LOAD_REPORT_MILLIS - QUEUE_REPORT_MILLIS : 0;
        return clock.isPast(reportAtNanos - soonerMillis * Clock.NANOS_PER_MILLI);
    }
}
