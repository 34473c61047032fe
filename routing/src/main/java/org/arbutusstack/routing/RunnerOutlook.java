package org.arbutusstack.routing;

/**
 * What one more request can expect at a runner.
 *
 * @param zone the availability zone of the runner
 * @param firstEventMillis the expected time to its first event without the delay, in milliseconds; not a number if
 *     nothing is known of the runner
 * @param delayMillis the measured time that the link to the runner adds, in milliseconds
 * @param slots the number of requests that the runner executes concurrently; zero if unknown
 * @param full whether all slots are taken
 */
public record RunnerOutlook(String zone, double firstEventMillis, double delayMillis, int slots, boolean full) {}
