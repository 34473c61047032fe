package org.arbutusstack.ledger;

/** The result of bringing a replica of the ticket log up to a head. */
public enum CatchUpResult {
    /** The replica is exactly at the head. */
    CURRENT("the ticket log is current"),
    /** The missing entries could not be read from the key-value service. */
    UNREADABLE("the key-value service is unavailable"),
    /** The head is older than the replica, which is unchanged. */
    STALE("the key-value service shows an older ticket log than the one in force"),
    /** The head, a snapshot or an entry does not match its digest; the replica is unchanged. */
    CORRUPT("the ticket log in the key-value service contradicts its digests");

    private final String detail;

    CatchUpResult(String detail) {
        this.detail = detail;
    }

    /**
     * Return a description of the result for operators.
     *
     * @return a sentence without a full stop
     */
    public String detail() {
        return detail;
    }
}
