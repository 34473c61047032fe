package org.arbutusstack.testkit.platform;

/** Names what a runner does wrong with the work that it gets. */
public enum RunnerFault {
    /** Nothing. */
    NONE,

    /** It is full and runs nothing. */
    FULL,

    /** Another incarnation listens at the address. */
    OTHER_INCARNATION,

    /** It answers as if to another request. */
    STRAY,

    /** It answers without attesting it. */
    UNATTESTED,

    /** It breaks off in the middle of an event. */
    CUT
}
