package org.arbutusstack.ledger;

/** The outcome of appending entries, or installing a snapshot, to a replica of the ticket log. */
public enum AppendOutcome {
    /** The replica has advanced. */
    ADVANCED,
    /** The replica already contained all of them. */
    KNOWN,
    /** Entries between the end of the replica and the first one offered are missing; nothing was appended. */
    GAP,
    /** The chain digest after the entries differs from the expected one; nothing was appended. */
    DIVERGED;

    /**
     * Return whether the replica contains the entries.
     *
     * @return {@code true} for {@link #ADVANCED} and {@link #KNOWN}
     */
    public boolean isApplied() {
        return this == ADVANCED || this == KNOWN;
    }
}
