package org.arbutusstack.side;

import org.arbutusstack.kernel.Assert;

/**
 * Limits of the work of a side.
 *
 * @param queueLimit the maximum number of queued requests
 * @param queueBytes the maximum size of their bodies, in bytes
 * @param slots the maximum number of requests that run on the backend server at the same time
 * @param streamSilenceMillis the longest time between two parts of a streamed answer, in milliseconds
 * @param answerSilenceMillis the longest time between two parts of any other answer, in milliseconds
 * @param quarantineMillis how long the strikes of a request that was in flight when an engine was lost are kept, in
 *     milliseconds
 */
public record WorkLimits(
        int queueLimit,
        long queueBytes,
        int slots,
        long streamSilenceMillis,
        long answerSilenceMillis,
        long quarantineMillis) {

    /** Create limits, all of which must be at least one. */
    public WorkLimits {
        Assert.atLeast(queueLimit, 1, "queueLimit");
        Assert.atLeast(queueBytes, 1, "queueBytes");
        Assert.atLeast(slots, 1, "slots");
        Assert.atLeast(streamSilenceMillis, 1, "streamSilenceMillis");
        Assert.atLeast(answerSilenceMillis, 1, "answerSilenceMillis");
        Assert.atLeast(quarantineMillis, 1, "quarantineMillis");
    }
}
