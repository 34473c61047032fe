package org.arbutusstack.side.claim;

import org.arbutusstack.kernel.Assert;

/**
 * Limits of the claims in the key-value service.
 *
 * @param retentionMillis how long a claim is kept, in milliseconds
 * @param commitMillis the minimum time between two writes of one bucket by one side, in milliseconds
 * @param answerBytes the maximum size of a recorded body, in bytes
 * @param sealBytes the size of a bucket's value above which settled claims move to a segment, in bytes
 */
public record ClaimLimits(long retentionMillis, long commitMillis, int answerBytes, int sealBytes) {

    /** The size of a bucket's value above which no further claim is accepted, in bytes. */
    public static final int MAX_HEAD_BYTES = 500_000;

    /** Create limits, which are checked against their minimum. */
    public ClaimLimits {
        Assert.atLeast(retentionMillis, 1, "retentionMillis");
        Assert.atLeast(commitMillis, 0, "commitMillis");
        Assert.atLeast(answerBytes, 0, "answerBytes");
        Assert.atLeast(sealBytes, 1, "sealBytes");
    }
}
