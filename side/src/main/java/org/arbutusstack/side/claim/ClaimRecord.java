package org.arbutusstack.side.claim;

import org.arbutusstack.kernel.Assert;

/**
 * Holds one claim as it is recorded.
 *
 * @param key the digest of service and idempotency key
 * @param content the digest of the call's content
 * @param claimant the name of the claim, used once
 * @param claimedWallMillis when it was claimed, in milliseconds since the epoch
 * @param answer the outcome; {@code null} while none is recorded
 */
public record ClaimRecord(String key, String content, String claimant, long claimedWallMillis, RecordedAnswer answer) {

    /** Checks the record. */
    public ClaimRecord {
        Assert.hasText(key, "key");
        Assert.hasText(content, "content");
        Assert.hasText(claimant, "claimant");
    }

    ClaimRecord withAnswer(RecordedAnswer recorded) {
        return new ClaimRecord(key, content, claimant, claimedWallMillis, recorded);
    }
}
