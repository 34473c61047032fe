package org.arbutusstack.side.claim;

import org.arbutusstack.kernel.Assert;

/**
 * Recorded claim.
 *
 * @param key the digest of service and idempotency key
 * @param content the digest of the call's content
 * @param claimant the unique name of the claim
 * @param claimedWallMillis when the call was claimed, in milliseconds since the epoch
 * @param answer the outcome, {@code null} if none is recorded yet
 */
public record ClaimRecord(String key, String content, String claimant, long claimedWallMillis, RecordedAnswer answer) {

    /** Create a record, whose key, content and claimant must not be blank. */
    public ClaimRecord {
        Assert.hasText(key, "key");
        Assert.hasText(content, "content");
        Assert.hasText(claimant, "claimant");
    }

    ClaimRecord withAnswer(RecordedAnswer recorded) {
        return new ClaimRecord(key, content, claimant, claimedWallMillis, recorded);
    }
}
