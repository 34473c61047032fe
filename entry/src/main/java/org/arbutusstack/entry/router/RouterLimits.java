package org.arbutusstack.entry.router;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.model.request.Priority;

/**
 * Limits of the router.
 *
 * @param maxRequests the maximum number of requests in flight
 * @param bulkPercent the share of {@code maxRequests} available to bulk requests, in percent
 * @param maxWaiting the maximum number of requests that wait for a runner of the same model
 * @param maxAttempts the maximum number of attempts of a request, excluding those refused by a draining side
 * @param retryPercent the number of retries permitted per hundred requests
 * @param retryReserve the number of retries permitted in a burst
 * @param maxAnswerBytes the maximum size of an answer that is not a stream, in bytes
 * @param maxBufferedBytes the maximum total size of buffered answers, in bytes
 * @param receiptTimeoutMillis the time within which a side has to confirm a request, in milliseconds
 * @param heartbeatMillis the period of heartbeats on a link, in milliseconds
 * @param maxSilenceMillis the time without received data after which a link is closed, in milliseconds
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

    /** Validate the limits. */
    public RouterLimits {
        Assert.atLeast(maxRequests, 1, "maxRequests");
        Assert.atLeast(maxAttempts, 1, "maxAttempts");
        Assert.atLeast(maxSilenceMillis, 1, "maxSilenceMillis");
    }

    /**
     * Read the limits from the settings.
     *
     * @param settings the validated settings
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
     * Return the number of requests in flight at which a new request of the given priority is refused. The remaining
     * capacity is reserved for more urgent requests.
     *
     * @param priority the priority of the new request
     * @return the maximum number of requests in flight, at least 1
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
