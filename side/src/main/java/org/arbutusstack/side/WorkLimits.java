package org.arbutusstack.side;

import org.arbutusstack.kernel.Assert;

/**
 * Bounds the work of a side.
 *
 * @param queueLimit the requests that may wait
 * @param queueBytes the bytes of their bodies, in bytes
 * @param slots the requests handed to the backend server at once
 * @param streamSilenceMillis how long a streamed answer may go without a part, in milliseconds
 * @param answerSilenceMillis how long an answer that is not streamed may go without a part, in milliseconds
 * @param quarantineMillis how long it is remembered that a request was in flight when an engine was lost, in
 *     milliseconds
 */
public record WorkLimits(
        int queueLimit,
        long queueBytes,
        int slots,
        long streamSilenceMillis,
        long answerSilenceMillis,
        long quarantineMillis) {

    /** Checks the limits. */
    public WorkLimits {
        Assert.atLeast(queueLimit, 1, "queueLimit");
        Assert.atLeast(queueBytes, 1, "queueBytes");
        Assert.atLeast(slots, 1, "slots");
        Assert.atLeast(streamSilenceMillis, 1, "streamSilenceMillis");
        Assert.atLeast(answerSilenceMillis, 1, "answerSilenceMillis");
        Assert.atLeast(quarantineMillis, 1, "quarantineMillis");
    }
}
