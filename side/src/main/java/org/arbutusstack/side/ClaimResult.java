package org.arbutusstack.side;

/** Tells what became of the claim of a call that may not be repeated. */
public sealed interface ClaimResult {

    /** The claim is durable and this side's; the call may be sent once. */
    record Granted() implements ClaimResult {}

    /**
     * A call with the same key was claimed before.
     *
     * @param detail one sentence for people
     */
    record Taken(String detail) implements ClaimResult {}

    /**
     * The key-value service did not record the claim in time.
     *
     * @param detail one sentence for people
     */
    record Unavailable(String detail) implements ClaimResult {}
}
