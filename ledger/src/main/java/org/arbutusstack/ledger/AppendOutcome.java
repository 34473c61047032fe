package org.arbutusstack.ledger;

/** Tells what became of entries that were offered to a copy of the ticket log. */
public enum AppendOutcome {
    /** The copy has advanced. */
    ADVANCED,
    /** The copy had them all. */
    KNOWN,
    /** Entries between the copy and the first one offered are missing; nothing was appended. */
    GAP,
    /** The chain digest after them is not the one expected; nothing was appended. */
    DIVERGED;

    /**
     * Tells whether the copy holds the entries now.
     *
     * @return whether it does
     */
    public boolean isHeld() {
        return this == ADVANCED || this == KNOWN;
    }
}
