package org.arbutusstack.entry.router;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;

/**
 * States what the router keeps within.
 *
 * @param mostRequests the requests in hand at once
 * @param mostWaiting the requests of one model that wait for a runner at once
 * @param mostAttempts the attempts of one request, without those that a leaving side refused
 * @param retryPercent the retries permitted for a hundred requests
 * @param retryReserve the retries permitted at once
 * @param longestAnswerBytes the longest answer that is not a stream
 * @param mostBufferedBytes the bytes of answers that are buffered at once
 * @param receiptMillis how long a side may take to confirm a request, in milliseconds
 * @param heartbeatMillis the period of heartbeats on a link, in milliseconds
 * @param probeMillis how long a link with requests may say nothing before it is probed, in milliseconds
 */
public record RouterLimits(
        int mostRequests,
        int mostWaiting,
        int mostAttempts,
        int retryPercent,
        int retryReserve,
        int longestAnswerBytes,
        long mostBufferedBytes,
        long receiptMillis,
        long heartbeatMillis,
        long probeMillis) {

    private static final int SILENT_HEARTBEATS = 3;

    /** Checks the limits. */
    public RouterLimits {
        Assert.atLeast(mostRequests, 1, "mostRequests");
        Assert.atLeast(mostAttempts, 1, "mostAttempts");
        Assert.atLeast(probeMillis, 1, "probeMillis");
    }

    /**
     * Reads the limits from the settings.
     *
     * @param settings the checked settings
     * @return the limits
     */
    public static RouterLimits of(Settings settings) {
        return new RouterLimits(
                (int) settings.number(RouterSettings.MOST_REQUESTS),
                (int) settings.number(RouterSettings.MOST_WAITING),
                (int) settings.number(RouterSettings.MOST_ATTEMPTS),
                (int) settings.number(RouterSettings.RETRY_PERCENT),
                (int) settings.number(RouterSettings.RETRY_RESERVE),
                (int) settings.number(RouterSettings.LONGEST_ANSWER),
                settings.number(RouterSettings.MOST_BUFFERED),
                settings.number(RouterSettings.RECEIPT),
                settings.number(RouterSettings.HEARTBEAT),
                settings.number(RouterSettings.PROBE));
    }

    /**
     * Tells when an idle link counts as silent.
     *
     * @return the milliseconds without anything heard
     */
    public long silenceMillis() {
        return SILENT_HEARTBEATS * heartbeatMillis;
    }
}
