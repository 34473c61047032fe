package org.arbutusstack.gateway.agent;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.RunnerStatusFrame;

/**
 * Schedule by which entries receive a status, so that the rate of statuses sent by one agent stays bounded for any
 * number of entries.
 *
 * <p>Entries request the status before they send, so a change of load alone is not published. All entries receive at
 * once whether the runner accepts requests and which models it holds or loads; changes of adapters go to the entries
 * that have recently named one. Does no I/O; used by the agent's thread only.
 */
final class StatusSchedule {

    /** Interval between statuses to all entries while only the load changes and few entries are linked. */
    private static final long MIN_INTERVAL_MILLIS = 500;

    /**
     * Maximum rate of statuses of one agent while only the load changes; at 300 bytes each, below 29 KB/s of control.
     */
    private static final long MAX_STATUSES_PER_SECOND = 64;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Clock clock;

    private RunnerStatusFrame lastSent;

    private long lastSentAtNanos;

    StatusSchedule(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /** Recipients of a status. */
    enum Audience {
        /** No entry for now. */
        NOBODY,
        /** The entries that have recently named an adapter. */
        ADAPTER_USERS,
        /** All linked entries. */
        ALL
    }

    /**
     * Return the longest time between two statuses to all entries.
     *
     * @param entries the number of linked entries
     * @return the interval in milliseconds
     */
    static long statusIntervalMillis(int entries) {
        return Math.max(MIN_INTERVAL_MILLIS, entries * MILLIS_PER_SECOND / MAX_STATUSES_PER_SECOND);
    }

    /**
     * Select the recipients of a new status and assume that the caller then sends it to them.
     *
     * @param status the current status
     * @return the entries to send it to
     */
    Audience selectAudience(RunnerStatusFrame status) {
        boolean due =
                lastSent == null || clock.isPast(lastSentAtNanos + status.nextWithinMillis() * Clock.NANOS_PER_MILLI);
        if (due || isRelevantToAll(status)) {
            lastSent = status;
            lastSentAtNanos = clock.nowNanos();
            return Audience.ALL;
        }
        if (status.models().equals(lastSent.models())) {
            return Audience.NOBODY;
        }
        lastSent = status;
        return Audience.ADAPTER_USERS;
    }

    private boolean isRelevantToAll(RunnerStatusFrame status) {
        return status.startedAtMillis() != lastSent.startedAtMillis()
                || status.takesWork() != lastSent.takesWork()
                || status.inDoubt() != lastSent.inDoubt()
                || status.remainingMillis() < 0 != lastSent.remainingMillis() < 0
                || !status.loadingModel().equals(lastSent.loadingModel())
                || !modelsOf(status).equals(modelsOf(lastSent));
    }

    private static List<String> modelsOf(RunnerStatusFrame status) {
        List<String> models = new ArrayList<>();
        status.models().forEach(model -> models.add(model.name() + '@' + model.version()));
        return models;
    }
}
