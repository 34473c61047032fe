package org.arbutusstack.gateway.agent;

/** Tells what became of an order; each constant knows whether the order may still take effect. */
public enum OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,

    /** What it asks for holds already. */
    HOLDS,

    /** Another order was accepted in between, or one is in progress. */
    CONFLICT,

    /** The runner has seen a higher fencing number. */
    FENCED,

    /** The runner cannot carry it out. */
    REFUSED,

    /** Another incarnation answered. */
    OTHER_INCARNATION,

    /** No answer: it may be carried out now, later or never. */
    UNKNOWN;

    boolean mayTakeEffect() {
        return this == ACCEPTED || this == UNKNOWN;
    }
}
