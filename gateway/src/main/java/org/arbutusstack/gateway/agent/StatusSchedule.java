package org.arbutusstack.gateway.agent;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.RunnerStatusFrame;

/**
 * Decides which entries are told a status, so that the statuses of one side stay bounded however many entries there
 * are.
 *
 * <p>Entries ask before they send, so that nobody has to be told of load. What holds for all at once is whether the
 * runner takes work and which models it holds or loads; an adapter concerns the entries that named one a moment ago.
 * Does no I/O; used by the attendant's duty only.
 */
final class StatusSchedule {

    /** The pause between two statuses to all while only load changes, and few entries are linked. */
    private static final long BEAT_MILLIS = 500;

    /** The statuses of a side in a second while only load changes; at 300 bytes each, below 29 KB/s of control. */
    private static final long STATUSES_PER_SECOND = 64;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Clock clock;

    private RunnerStatusFrame told;

    private long toldAtNanos;

    StatusSchedule(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Tells who is to be told a status now. */
    enum Audience {
        /** Nobody yet. */
        NOBODY,
        /** The entries whose requests wait for an adapter. */
        ADAPTER_USERS,
        /** All entries. */
        ALL
    }

    /** Tells the longest time between two statuses to all. */
    static long statusIntervalMillis(int entries) {
        return Math.max(BEAT_MILLIS, entries * MILLIS_PER_SECOND / STATUSES_PER_SECOND);
    }

    /** Decides on a status that has just been read; the caller then tells it. */
    Audience decide(RunnerStatusFrame status) {
        boolean due = told == null || clock.isPast(toldAtNanos + status.nextWithinMillis() * Clock.NANOS_PER_MILLI);
        if (due || concernsAll(status)) {
            told = status;
            toldAtNanos = clock.nowNanos();
            return Audience.ALL;
        }
        if (status.models().equals(told.models())) {
            return Audience.NOBODY;
        }
        told = status;
        return Audience.ADAPTER_USERS;
    }

    private boolean concernsAll(RunnerStatusFrame status) {
        return status.startedAtMillis() != told.startedAtMillis()
                || status.takesWork() != told.takesWork()
                || status.inDoubt() != told.inDoubt()
                || status.remainingMillis() < 0 != told.remainingMillis() < 0
                || !status.loadingModel().equals(told.loadingModel())
                || !modelsOf(status).equals(modelsOf(told));
    }

    private static List<String> modelsOf(RunnerStatusFrame status) {
        List<String> models = new ArrayList<>();
        status.models().forEach(model -> models.add(model.name() + '@' + model.version()));
        return models;
    }
}
