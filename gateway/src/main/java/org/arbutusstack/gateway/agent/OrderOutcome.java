package org.arbutusstack.gateway.agent;

/** Outcome of an order; determines whether the order may still take effect. */
public enum OrderOutcome {
    /** The runner is executing the order. */
    ACCEPTED,

    /** The requested state is already in place. */
    HOLDS,

    /** Another order was accepted since the state was read, or one is in progress. */
    CONFLICT,

    /** The runner has seen a higher fencing token. */
    FENCED,

    /** The runner cannot execute the order. */
    REFUSED,

    /** Another incarnation of the runner answered. */
    OTHER_INCARNATION,

    /** The runner did not answer: the order may be executed now, later or never. */
    UNKNOWN;

    /** Return whether the order is or may still be executed. */
    boolean mayTakeEffect() {
        return this == ACCEPTED || this == UNKNOWN;
    }
}
