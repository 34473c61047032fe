package org.arbutusstack.ledger;

/** Tells how far a copy of the ticket log came when it was brought up to a head. */
public enum CatchUpResult {
    /** The copy stands exactly at the head. */
    CURRENT("the ticket log is current"),
    /** The key-value service did not give the entries that are missing. */
    UNREADABLE("the key-value service is unavailable"),
    /** The head is older than the copy; the copy stands. */
    STALE("the key-value service shows an older ticket log than the one in force"),
    /** The head or an entry contradicts its digest; the copy stands. */
    CORRUPT("the ticket log in the key-value service contradicts its digests");

    private final String detail;

    CatchUpResult(String detail) {
        this.detail = detail;
    }

    /**
     * Describes the result to people.
     *
     * @return one sentence
     */
    public String detail() {
        return detail;
    }
}
