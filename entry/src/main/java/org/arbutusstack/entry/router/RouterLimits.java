package org.arbutusstack.entry.router;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.model.request.Priority;

/**
 * States what the router keeps within.
 *
 * @param maxRequests the requests in hand at once
 * @param bulkPercent the share of the requests in hand that bulk requests may have, in percent
 * @param maxWaiting the requests of one model that wait for a runner at once
 * @param maxAttempts the attempts of one request, without those that a leaving side refused
 * @param retryPercent the retries permitted for a hundred requests
 * @param retryReserve the retries permitted at once
 * @param maxAnswerBytes the longest answer that is not a stream
 * @param maxBufferedBytes the bytes of answers that are buffered at once
 * @param receiptTimeoutMillis how long a side may take to confirm a request, in milliseconds
 * @param heartbeatMillis the period of heartbeats on a link, in milliseconds
 * @param maxSilenceMillis how long a link may carry nothing before it is given up, in milliseconds
 */
public record RouterLimits(
        int maxRequests,
        int bulkPercent,
        int maxWaiting,
        int maxAttempts,
        int retryPercent,
        int retryReserve,
        int maxAnswerBytes,
        long maxBufferedBytes,
        long receiptTimeoutMillis,
        long heartbeatMillis,
        long maxSilenceMillis) {

    private static final int HUNDRED_PERCENT = 100;

    /** Checks the limits. */
    public RouterLimits {
        Assert.atLeast(maxRequests, 1, "maxRequests");
        Assert.atLeast(maxAttempts, 1, "maxAttempts");
        Assert.atLeast(maxSilenceMillis, 1, "maxSilenceMillis");
    }

    /**
     * Reads the limits from the settings.
     *
     * @param settings the checked settings
     * @return the limits
     */
    public static RouterLimits of(Settings settings) {
        return new RouterLimits(
                (int) settings.number(RouterSettings.MAX_REQUESTS),
                (int) settings.number(RouterSettings.BULK_PERCENT),
                (int) settings.number(RouterSettings.MAX_WAITING),
                (int) settings.number(RouterSettings.MAX_ATTEMPTS),
                (int) settings.number(RouterSettings.RETRY_PERCENT),
                (int) settings.number(RouterSettings.RETRY_RESERVE),
                (int) settings.number(RouterSettings.MAX_ANSWER_BYTES),
                settings.number(RouterSettings.MAX_BUFFERED_BYTES),
                settings.number(RouterSettings.RECEIPT_TIMEOUT),
                settings.number(RouterSettings.HEARTBEAT_PERIOD),
                settings.number(RouterSettings.MAX_LINK_SILENCE));
    }

    /**
     * Tells how many requests may be in hand when one more of a priority arrives; the rest is kept for more urgent
     * ones.
     *
     * @param priority the priority
     * @return the number
     */
    public int maxRequests(Priority priority) {
        int percent =
                switch (priority) {
                    case INTERACTIVE -> HUNDRED_PERCENT;
                    case NORMAL -> (HUNDRED_PERCENT + bulkPercent) / 2;
                    case BULK -> bulkPercent;
                };
        return Math.max(1, (int) ((long) maxRequests * percent / HUNDRED_PERCENT));
    }
}
