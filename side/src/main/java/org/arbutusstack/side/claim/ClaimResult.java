package org.arbutusstack.side.claim;

/** Result of the claim of a non-idempotent call. */
public sealed interface ClaimResult {

    /** The claim is durable and held by this side; the call may be sent once. */
    record Granted() implements ClaimResult {}

    /**
     * The call ran before and its outcome is recorded.
     *
     * @param answer the recorded answer
     */
    record Answered(RecordedAnswer answer) implements ClaimResult {}

    /**
     * The call was claimed before and no outcome is recorded.
     *
     * @param detail the reason, for the caller
     */
    record Taken(String detail) implements ClaimResult {}

    /** The key was used before for a call with other content. */
    record KeyReused() implements ClaimResult {}

    /**
     * The key-value service did not record the claim in time.
     *
     * @param detail the reason, for the caller
     */
    record Unavailable(String detail) implements ClaimResult {}
}
