package org.arbutusstack.gateway.runner;

/**
 * What a runner says about itself in the head of an answer, whatever the answer is.
 *
 * @param requestsPerSecond the requests that it takes from all entries together; zero if it names no limit
 */
public record RunnerNotice(double requestsPerSecond) {

    /** Notice of a runner that says nothing about itself. */
    public static final RunnerNotice NONE = new RunnerNotice(0);
}
