package org.arbutusstack.gateway.allotment;

/** Decision on a request of a team with an allotment. */
public sealed interface Admission {

    /**
     * The request may be sent.
     *
     * @param receipt the tokens that it has taken
     */
    record Admitted(AllotmentReceipt receipt) implements Admission {}

    /** The request is held until the {@link AdmissionListener} is notified, within the time limit of a wait. */
    record Waiting() implements Admission {}

    /**
     * The allotment is used up.
     *
     * @param retryAfterMillis the time after which there is room for the request, in milliseconds
     */
    record Refused(long retryAfterMillis) implements Admission {}
}
