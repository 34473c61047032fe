package org.arbutusstack.model.request;

/** Orders requests; each constant knows its urgency on the wire of the Priority header. */
public enum Priority {
    /** A person waits for the answer. */
    INTERACTIVE(1),
    /** The caller says nothing of its urgency. */
    NORMAL(3),
    /** The work can wait its turn. */
    BULK(6);

    private static final int LEAST_URGENT = 7;

    private final int urgency;

    Priority(int urgency) {
        this.urgency = urgency;
    }

    /**
     * Tells the urgency of RFC 9218.
     *
     * @return zero to seven, lower goes first
     */
    public int urgency() {
        return urgency;
    }

    /**
     * Chooses the priority for an urgency of RFC 9218.
     *
     * @param urgency zero to seven
     * @return the priority
     */
    public static Priority ofUrgency(int urgency) {
        if (urgency < NORMAL.urgency) {
            return INTERACTIVE;
        }
        return urgency <= Math.min(LEAST_URGENT, BULK.urgency - 1) ? NORMAL : BULK;
    }
}
