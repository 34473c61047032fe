package org.arbutusstack.gateway.runner;

/**
 * What a runner says about itself in the head of an answer, whatever the answer is.
 *
 * @param requestsPerSecond the requests that it takes from all entries together; zero if it names no limit
 * @param leaving whether it is about to leave
 * @param retryAfterMillis the time for which it wants no request from this entry, in milliseconds; zero for none
 */
public record RunnerNotice(double requestsPerSecond, boolean leaving, long retryAfterMillis) {

    /** Notice of a runner that says nothing about itself. */
    public static final RunnerNotice NONE = new RunnerNotice(0, false, 0);
}
