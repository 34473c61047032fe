package org.arbutusstack.gateway.request;

/** The kind of a runner's answer, by what its head shows about the request. */
public enum AnswerKind {
    /** The runner's own answer to the request. */
    ATTESTED,

    /** The runner did not run the request. */
    NOT_RUN,

    /** The runner did not run the request, since it lacks the model, the adapter or the version. */
    NOT_HELD,

    /** Another incarnation listens at the address and did not run the request. */
    OTHER_INCARNATION,

    /** Nothing shows that this is the runner's answer to the request. */
    UNATTESTED;

    /** Return whether the answer certainly comes from the runner that the request was sent to. */
    boolean isOfRunner() {
        return this == ATTESTED || this == NOT_RUN || this == NOT_HELD;
    }
}
