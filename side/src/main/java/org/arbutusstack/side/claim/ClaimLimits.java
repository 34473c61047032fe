package org.arbutusstack.side.claim;

import org.arbutusstack.kernel.Assert;

/**
 * Bounds what claims take in the key-value service.
 *
 * @param retentionMillis how long a claim is kept, in milliseconds
 * @param commitMillis the least time between two writes of one bucket by one side, in milliseconds
 * @param answerBytes the longest body that is recorded, in bytes
 * @param sealBytes the size of a bucket's value above which ended claims move to a segment, in bytes
 */
public record ClaimLimits(long retentionMillis, long commitMillis, int answerBytes, int sealBytes) {

    /** The size of a bucket's value above which no further claim is taken, in bytes. */
    public static final int MAX_HEAD_BYTES = 500_000;

    /** Checks the limits. */
    public ClaimLimits {
        Assert.atLeast(retentionMillis, 1, "retentionMillis");
        Assert.atLeast(commitMillis, 0, "commitMillis");
        Assert.atLeast(answerBytes, 0, "answerBytes");
        Assert.atLeast(sealBytes, 1, "sealBytes");
    }
}
