package org.arbutusstack.model.request;

import java.util.Locale;

/** What is known about the execution of a refused request, with the default HTTP status of each kind. */
public enum RefusalKind {
    /** No engine or service has run the request or will run it. */
    NOT_RUN(503),
    /** The request was sent to an engine or service, and its outcome is unknown. */
    OUTCOME_UNKNOWN(504),
    /** The request is invalid and would be refused again. */
    REJECTED(400);

    private final int status;

    RefusalKind(int status) {
        this.status = status;
    }

    /**
     * Return the HTTP status that applies if the reason specifies no other.
     *
     * @return the HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Return whether a request may be sent again after an attempt ended with this kind of refusal.
     *
     * @param idempotent whether the request may run more than once
     * @return whether a retry is permitted
     */
    public boolean mayRepeat(boolean idempotent) {
        return this == NOT_RUN || this == OUTCOME_UNKNOWN && idempotent;
    }

    /**
     * Return the name of the kind that is reported to callers.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
