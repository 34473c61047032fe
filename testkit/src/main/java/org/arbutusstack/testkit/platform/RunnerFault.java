package org.arbutusstack.testkit.platform;

/** The fault that a runner stand-in injects into requests. */
public enum RunnerFault {
    /** No fault. */
    NONE,

    /** The runner is at capacity and executes nothing. */
    FULL,

    /** Another incarnation listens on the address. */
    OTHER_INCARNATION,

    /** The answer carries the id of another request. */
    STRAY,

    /** The answer is not attested. */
    UNATTESTED,

    /** The answer ends in the middle of an event. */
    CUT
}
