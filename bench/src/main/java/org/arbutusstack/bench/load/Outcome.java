package org.arbutusstack.bench.load;

/** Tells what became of a request. */
public enum Outcome {
    /** The whole answer came before the deadline. */
    IN_TIME,
    /** The whole answer came after the deadline. */
    LATE,
    /** It was refused, and the refusal said why. */
    REFUSED,
    /** The answer broke off, was not whole, or never came. */
    BROKEN
}
