package org.arbutusstack.ledger.peer;

/** The condition of another process as seen over the links to it. */
public enum PeerCondition {
    /** No link was dialled yet. */
    UNTRIED(true),
    /** A link is being opened and the connect timeout has not passed. */
    CONNECTING(true),
    /** A frame was received recently. */
    ALIVE(true),
    /** The process stopped responding: no link can be opened, or no frame was received recently. */
    SILENT(false);

    private final boolean presumedAlive;

    PeerCondition(boolean presumedAlive) {
        this.presumedAlive = presumedAlive;
    }

    /**
     * Return whether the process is presumed alive and counts as a relay.
     *
     * @return {@code false} only for {@link #SILENT}
     */
    public boolean isPresumedAlive() {
        return presumedAlive;
    }
}
