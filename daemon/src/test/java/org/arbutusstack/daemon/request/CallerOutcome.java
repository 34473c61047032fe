package org.arbutusstack.daemon.request;

/** Tells what became of a request as its caller saw it. */
enum CallerOutcome {
    /** The whole right answer came in time. */
    WHOLE,
    /** The request was refused and is said not to have run. */
    NOT_RUN,
    /** The request was refused and may have run. */
    OUTCOME_UNKNOWN,
    /** The connection to the entry was lost, so the caller knows that it has no whole answer. */
    CONNECTION_LOST,
    /** The answer looked whole and was not the right one. */
    WRONG,
    /** Nothing came before the deadline and the slack after it. */
    UNANSWERED
}
