package org.arbutusstack.side.claim;

/** Is one change that a side wants made to a bucket. */
public sealed interface ClaimChange {

    /**
     * Names the key that the change is about.
     *
     * @return the digest of service and idempotency key
     */
    String key();

    /**
     * Names the claim.
     *
     * @return the claim's name, used once
     */
    String claimant();

    /**
     * Claims a call.
     *
     * @param key the digest of service and idempotency key
     * @param content the digest of the call's content
     * @param claimant the claim's name
     */
    record Claim(String key, String content, String claimant) implements ClaimChange {}

    /**
     * Records the outcome of a claimed call.
     *
     * @param key the digest of service and idempotency key
     * @param claimant the claim's name
     * @param answer the outcome
     */
    record Record(String key, String claimant, RecordedAnswer answer) implements ClaimChange {}

    /**
     * Takes back a claim whose call was not sent and never will be.
     *
     * @param key the digest of service and idempotency key
     * @param claimant the claim's name
     */
    record Release(String key, String claimant) implements ClaimChange {}
}
