package org.arbutusstack.bench.load;

/** The outcome of a request. */
public enum Outcome {
    /** The complete answer arrived before the deadline. */
    IN_TIME,
    /** The complete answer arrived after the deadline. */
    LATE,
    /** The request was refused with a reason. */
    REFUSED,
    /** The answer was interrupted, incomplete or missing. */
    BROKEN
}
