package org.arbutusstack.model.request;

/** The priority of a request, with the urgency that represents it in the {@code Priority} header of RFC 9218. */
public enum Priority {
    /** A person is waiting for the answer. */
    INTERACTIVE(1),
    /** The caller does not specify an urgency. */
    NORMAL(3),
    /** The request can be delayed in favor of others. */
    BULK(6);

    private static final int LEAST_URGENT = 7;

    private final int urgency;

    Priority(int urgency) {
        this.urgency = urgency;
    }

    /**
     * Return the urgency as defined by RFC 9218.
     *
     * @return the urgency from 0 to 7; a lower value takes precedence
     */
    public int urgency() {
        return urgency;
    }

    /**
     * Return the priority for an urgency as defined by RFC 9218.
     *
     * @param urgency the urgency from 0 to 7; a lower value takes precedence
     * @return the priority that the urgency belongs to
     */
    public static Priority ofUrgency(int urgency) {
        if (urgency < NORMAL.urgency) {
            return INTERACTIVE;
        }
        return urgency <= Math.min(LEAST_URGENT, BULK.urgency - 1) ? NORMAL : BULK;
    }
}
