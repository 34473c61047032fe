package org.arbutusstack.entry.caller;

import org.arbutusstack.entry.EntrySettings;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;

/**
 * States what the listener for callers keeps within.
 *
 * @param maxBodyBytes the longest body taken
 * @param defaultDeadlineMillis the deadline of a request that names none, in milliseconds
 * @param maxDeadlineMillis the longest deadline that a request may name, in milliseconds
 * @param drainNoticeMillis how long a stopping entry still takes requests while it is not ready, in milliseconds
 */
public record CallerLimits(
        long maxBodyBytes, long defaultDeadlineMillis, long maxDeadlineMillis, long drainNoticeMillis) {

    private static final int IDLE_MARGIN_MILLIS = 10_000;

    /** Checks the limits. */
    public CallerLimits {
        Assert.atLeast(maxBodyBytes, 1, "maxBodyBytes");
        Assert.atLeast(defaultDeadlineMillis, 1, "defaultDeadlineMillis");
        Assert.atLeast(maxDeadlineMillis, 1, "maxDeadlineMillis");
        Assert.atLeast(drainNoticeMillis, 0, "drainNoticeMillis");
    }

    /**
     * Reads the limits from the settings.
     *
     * @param settings the checked settings
     * @return the limits
     */
    public static CallerLimits of(Settings settings) {
        long maxMillis = settings.number(CallerSettings.MAX_DEADLINE);
        return new CallerLimits(
                settings.number(EntrySettings.MAX_BODY_BYTES),
                Math.min(maxMillis, settings.number(EntrySettings.DEFAULT_DEADLINE)),
                maxMillis,
                settings.number(CallerSettings.DRAIN_NOTICE));
    }

    /**
     * Tells how long a connection may carry nothing before it is closed.
     *
     * @return the milliseconds, more than the longest request takes
     */
    int idleMillis() {
        return (int) maxDeadlineMillis + IDLE_MARGIN_MILLIS;
    }

    /**
     * Tells how long a graceful stop takes at the most.
     *
     * @return the milliseconds until the longest request has ended
     */
    public long maxDrainMillis() {
        return maxDeadlineMillis + drainNoticeMillis;
    }
}
