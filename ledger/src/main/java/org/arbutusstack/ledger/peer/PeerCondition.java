package org.arbutusstack.ledger.peer;

/** Tells what a process knows of another one by its links. */
public enum PeerCondition {
    /** No link was tried yet. */
    UNTRIED(true),
    /** A link is being opened and may still be in time. */
    CONNECTING(true),
    /** Something was heard lately. */
    ALIVE(true),
    /** No link can be opened, or nothing was heard for long. */
    SILENT(false);

    private final boolean presumedAlive;

    PeerCondition(boolean presumedAlive) {
        this.presumedAlive = presumedAlive;
    }

    /**
     * Tells whether the process is counted on.
     *
     * @return whether it is
     */
    public boolean isPresumedAlive() {
        return presumedAlive;
    }
}
