package org.arbutusstack.model.request;

import java.util.Locale;

/** Tells why a request was refused. */
public enum RefusalReason {
    /** The request is not of the published shape. */
    MALFORMED(400),
    /** The request is larger than permitted. */
    TOO_LARGE(413),
    /** No such model or service exists. */
    UNKNOWN_TARGET(404),
    /** A header that the call needs is missing. */
    MISSING_HEADER(400),
    /** The same request crashed backend servers. */
    QUARANTINED(422),
    /** A queue is full. */
    QUEUE_FULL(503),
    /** No runner that holds the model can be reached. */
    NO_RUNNER(503),
    /** The answer could not be ready before the deadline. */
    DEADLINE_UNREACHABLE(503),
    /** The deadline passed before an answer. */
    DEADLINE_PASSED(504),
    /** The backend server is leaving. */
    LEAVING(503),
    /** The backend server was lost while it ran the request. */
    BACKEND_LOST(502),
    /** The backend server answered with an error. */
    BACKEND_ERROR(502),
    /** The answer is longer than the entry holds for a caller. */
    ANSWER_TOO_LARGE(502),
    /** The key-value service did not record the claim of a call that may not be repeated. */
    CLAIM_UNAVAILABLE(503),
    /** A call with the same key was claimed before. */
    ALREADY_CLAIMED(409),
    /** The key was used before for a call with other content. */
    IDEMPOTENCY_KEY_REUSED(422),
    /** The call ran and was answered before; the answer was too large to be kept. */
    ANSWER_NOT_KEPT(409),
    /** The caller went away. */
    CANCELLED(499),
    /** An error inside the system. */
    INTERNAL(500);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Tells the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Names the reason to callers.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
