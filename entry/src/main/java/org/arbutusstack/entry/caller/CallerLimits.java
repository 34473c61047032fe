package org.arbutusstack.entry.caller;

import org.arbutusstack.entry.EntrySettings;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;

/**
 * Limits of the listener for callers.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param defaultDeadlineMillis the deadline of a request that sets none, in milliseconds
 * @param maxDeadlineMillis the maximum deadline that a request may set, in milliseconds
 * @param drainNoticeMillis the time for which a draining entry still accepts requests while it reports itself not
 * ready, in milliseconds
 */
public record CallerLimits(
        long maxBodyBytes, long defaultDeadlineMillis, long maxDeadlineMillis, long drainNoticeMillis) {

    private static final int IDLE_MARGIN_MILLIS = 10_000;

    /** Validate the limits. */
    public CallerLimits {
        Assert.atLeast(maxBodyBytes, 1, "maxBodyBytes");
        Assert.atLeast(defaultDeadlineMillis, 1, "defaultDeadlineMillis");
        Assert.atLeast(maxDeadlineMillis, 1, "maxDeadlineMillis");
        Assert.atLeast(drainNoticeMillis, 0, "drainNoticeMillis");
    }

    /**
     * Read the limits from the settings.
     *
     * @param settings the validated settings
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
     * Return the time without data after which a connection is closed.
     *
     * @return the time in milliseconds; longer than the maximum deadline of a request
     */
    int idleMillis() {
        return (int) maxDeadlineMillis + IDLE_MARGIN_MILLIS;
    }

    /**
     * Return the maximum duration of a graceful shutdown.
     *
     * @return the time in milliseconds until the last request has ended
     */
    public long maxDrainMillis() {
        return maxDeadlineMillis + drainNoticeMillis;
    }
}
