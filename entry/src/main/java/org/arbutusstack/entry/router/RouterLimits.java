package org.arbutusstack.entry.router;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.model.request.Priority;

/**
 * States what the router keeps within.
 *
 * @param mostRequests the requests in hand at once
 * @param bulkPercent the share of the requests in hand that bulk requests may have, in percent
 * @param mostWaiting the requests of one model that wait for a runner at once
 * @param mostAttempts the attempts of one request, without those that a leaving side refused
 * @param retryPercent the retries permitted for a hundred requests
 * @param retryReserve the retries permitted at once
 * @param longestAnswerBytes the longest answer that is not a stream
 * @param mostBufferedBytes the bytes of answers that are buffered at once
 * @param receiptMillis how long a side may take to confirm a request, in milliseconds
 * @param heartbeatMillis the period of heartbeats on a link, in milliseconds
 * @param silenceMillis how long a link may carry nothing before it is given up, in milliseconds
 */
public record RouterLimits(
        int mostRequests,
        int bulkPercent,
        int mostWaiting,
        int mostAttempts,
        int retryPercent,
        int retryReserve,
        int longestAnswerBytes,
        long mostBufferedBytes,
        long receiptMillis,
        long heartbeatMillis,
        long silenceMillis) {

    private static final int WHOLE_PERCENT = 100;

    /** Checks the limits. */
    public RouterLimits {
        Assert.atLeast(mostRequests, 1, "mostRequests");
        Assert.atLeast(mostAttempts, 1, "mostAttempts");
        Assert.atLeast(silenceMillis, 1, "silenceMillis");
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
                (int) settings.number(RouterSettings.BULK_PERCENT),
                (int) settings.number(RouterSettings.MOST_WAITING),
                (int) settings.number(RouterSettings.MOST_ATTEMPTS),
                (int) settings.number(RouterSettings.RETRY_PERCENT),
                (int) settings.number(RouterSettings.RETRY_RESERVE),
                (int) settings.number(RouterSettings.LONGEST_ANSWER),
                settings.number(RouterSettings.MOST_BUFFERED),
                settings.number(RouterSettings.RECEIPT),
                settings.number(RouterSettings.HEARTBEAT),
                settings.number(RouterSettings.SILENCE));
    }

    /**
     * Tells how many requests may be in hand when one more of a priority arrives; the rest is kept for more urgent
     * ones.
     *
     * @param priority the priority
     * @return the number
     */
    public int mostRequests(Priority priority) {
        int percent =
                switch (priority) {
                    case INTERACTIVE -> WHOLE_PERCENT;
                    case NORMAL -> (WHOLE_PERCENT + bulkPercent) / 2;
                    case BULK -> bulkPercent;
                };
        return Math.max(1, (int) ((long) mostRequests * percent / WHOLE_PERCENT));
    }
}
