package org.arbutusstack.model.request;

import java.util.Locale;

/** Tells what a refused caller may conclude; each constant knows its HTTP status. */
public enum RefusalKind {
    /** No engine or service ran the request, nor will one. */
    NOT_RUN(503),
    /** The request was sent to an engine or service and its outcome is not known. */
    OUTCOME_UNKNOWN(504),
    /** The request is wrong and would be refused again. */
    REJECTED(400);

    private final int status;

    RefusalKind(int status) {
        this.status = status;
    }

    /**
     * Tells the HTTP status where the reason names no other.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Tells whether a request that an attempt ended with may be sent again.
     *
     * @param idempotent whether the request may run more than once
     * @return whether it may
     */
    public boolean mayRepeat(boolean idempotent) {
        return this == NOT_RUN || this == OUTCOME_UNKNOWN && idempotent;
    }

    /**
     * Names the kind to callers.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
