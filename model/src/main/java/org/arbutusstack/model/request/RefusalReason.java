package org.arbutusstack.model.request;

import java.util.Locale;

/** The reasons for which a request is refused, with the HTTP status of each. */
public enum RefusalReason {
    /** The request does not conform to the published format. */
    MALFORMED(400),
    /** The request is larger than permitted. */
    TOO_LARGE(413),
    /** No such model or service exists. */
    UNKNOWN_TARGET(404),
    /** A header that the call requires is missing. */
    MISSING_HEADER(400),
    /** The request has no key, or one that no team holds. */
    UNKNOWN_KEY(401),
    /** The team of the request has used up its allotment. */
    OVER_ALLOTMENT(429),
    /** The configuration may no longer be in force, so that keys that were withdrawn cannot be told from valid ones. */
    CONFIG_STALE(503),
    /** The request is quarantined, since it crashed backend servers. */
    QUARANTINED(422),
    /** A queue is full. */
    QUEUE_FULL(503),
    /** The entry holds as many bytes for others as its memory allows. */
    MEMORY_FULL(503),
    /** No runner that holds the model is reachable. */
    NO_RUNNER(503),
    /** The answer cannot be complete before the deadline. */
    DEADLINE_UNREACHABLE(503),
    /** The deadline passed before the request was answered. */
    DEADLINE_PASSED(504),
    /** The backend server is draining. */
    LEAVING(503),
    /** The backend server was lost while it was running the request. */
    BACKEND_LOST(502),
    /** The backend server answered with an error. */
    BACKEND_ERROR(502),
    /** The answer is larger than the entry buffers for a caller. */
    ANSWER_TOO_LARGE(502),
    /** The key-value service did not record the claim of a call that must not be repeated. */
    CLAIM_UNAVAILABLE(503),
    /** A call with the same idempotency key has already been claimed. */
    ALREADY_CLAIMED(409),
    /** The idempotency key was used before for a call with different content. */
    IDEMPOTENCY_KEY_REUSED(422),
    /** The call was run and answered before, and the answer was too large to be retained. */
    ANSWER_NOT_KEPT(409),
    /** The caller disconnected. */
    CANCELLED(499),
    /** An internal error of the system. */
    INTERNAL(500);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Return the HTTP status with which the request is refused.
     *
     * @return the HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Return the name of the reason that is reported to callers.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
