package org.arbutusstack.side.claim;

/** Tells what became of the claim of a call that may not be repeated. */
public sealed interface ClaimResult {

    /** The claim is durable and this side's; the call may be sent once. */
    record Granted() implements ClaimResult {}

    /**
     * The call ran before and its outcome is recorded.
     *
     * @param answer the answer that was given
     */
    record Answered(RecordedAnswer answer) implements ClaimResult {}

    /**
     * The call was claimed before and no outcome is recorded.
     *
     * @param detail one sentence for people
     */
    record Taken(String detail) implements ClaimResult {}

    /** The key was used before for a call with other content. */
    record KeyReused() implements ClaimResult {}

    /**
     * The key-value service did not record the claim in time.
     *
     * @param detail one sentence for people
     */
    record Unavailable(String detail) implements ClaimResult {}
}
