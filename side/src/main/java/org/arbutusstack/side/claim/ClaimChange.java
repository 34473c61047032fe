package org.arbutusstack.side.claim;

/** Change that a side makes to a bucket. */
public sealed interface ClaimChange {

    /**
     * Return the key of the claim to change.
     *
     * @return the digest of service and idempotency key
     */
    String key();

    /**
     * Return the name of the claim.
     *
     * @return the unique name of the claim
     */
    String claimant();

    /**
     * Claims a call.
     *
     * @param key the digest of service and idempotency key
     * @param content the digest of the call's content
     * @param claimant the unique name of the claim
     */
    record Claim(String key, String content, String claimant) implements ClaimChange {}

    /**
     * Records the outcome of a claimed call.
     *
     * @param key the digest of service and idempotency key
     * @param claimant the unique name of the claim
     * @param answer the answer to the call
     */
    record Record(String key, String claimant, RecordedAnswer answer) implements ClaimChange {}

    /**
     * Releases a claim whose call was not sent and never will be.
     *
     * @param key the digest of service and idempotency key
     * @param claimant the unique name of the claim
     */
    record Release(String key, String claimant) implements ClaimChange {}
}
