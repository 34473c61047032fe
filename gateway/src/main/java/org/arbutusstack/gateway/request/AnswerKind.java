package org.arbutusstack.gateway.request;

/** Tells what the head of an answer says of the request that it follows. */
public enum AnswerKind {
    /** It is the runner's own answer to the request. */
    ATTESTED,

    /** The runner did not run the request. */
    NOT_RUN,

    /** The runner did not run the request, since it lacks the model, the adapter or the version. */
    NOT_HELD,

    /** Another incarnation listens at the address and did not run the request. */
    OTHER_INCARNATION,

    /** Nothing shows that it is the runner's answer to this request. */
    UNATTESTED
}
