package org.arbutusstack.daemon.request;

/** Outcome of a request as its caller sees it. */
enum CallerOutcome {
    /** The complete, correct answer arrived in time. */
    WHOLE,
    /** The request was refused, and the refusal states that it did not run. */
    NOT_RUN,
    /** The request was refused, and the refusal states that it may have run. */
    OUTCOME_UNKNOWN,
    /** The connection to the entry was lost, so the caller can tell that its answer is incomplete. */
    CONNECTION_LOST,
    /** The answer looked complete but was incorrect. */
    WRONG,
    /** The response did not end within the deadline and the slack after it. */
    UNANSWERED
}
