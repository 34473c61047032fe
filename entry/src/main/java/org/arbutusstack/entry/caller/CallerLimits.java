package org.arbutusstack.entry.caller;

import org.arbutusstack.entry.EntrySettings;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;

/**
 * States what the listener for callers keeps within.
 *
 * @param longestBodyBytes the longest body taken
 * @param defaultDeadlineMillis the deadline of a request that names none, in milliseconds
 * @param longestDeadlineMillis the longest deadline that a request may name, in milliseconds
 * @param noticeMillis how long a stopping entry still takes requests while it is not ready, in milliseconds
 */
public record CallerLimits(
        long longestBodyBytes, long defaultDeadlineMillis, long longestDeadlineMillis, long noticeMillis) {

    private static final int IDLE_SLACK_MILLIS = 10_000;

    /** Checks the limits. */
    public CallerLimits {
        Assert.atLeast(longestBodyBytes, 1, "longestBodyBytes");
        Assert.atLeast(defaultDeadlineMillis, 1, "defaultDeadlineMillis");
        Assert.atLeast(longestDeadlineMillis, 1, "longestDeadlineMillis");
        Assert.atLeast(noticeMillis, 0, "noticeMillis");
    }

    /**
     * Reads the limits from the settings.
     *
     * @param settings the checked settings
     * @return the limits
     */
    public static CallerLimits of(Settings settings) {
        long longestMillis = settings.number(CallerSettings.LONGEST_DEADLINE);
        return new CallerLimits(
                settings.number(EntrySettings.LONGEST_BODY),
                Math.min(longestMillis, settings.number(EntrySettings.DEFAULT_DEADLINE)),
                longestMillis,
                settings.number(CallerSettings.NOTICE));
    }

    /**
     * Tells how long a connection may carry nothing before it is closed.
     *
     * @return the milliseconds, more than the longest request takes
     */
    int idleMillis() {
        return (int) longestDeadlineMillis + IDLE_SLACK_MILLIS;
    }

    /**
     * Tells how long a graceful stop takes at the most.
     *
     * @return the milliseconds until the longest request has ended
     */
    public long maxDrainMillis() {
        return longestDeadlineMillis + noticeMillis;
    }
}
