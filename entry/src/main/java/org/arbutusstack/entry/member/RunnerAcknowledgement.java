package org.arbutusstack.entry.member;

import org.arbutusstack.kernel.Assert;

/**
 * Tells how far the process beside a runner has the ticket log in force.
 *
 * @param runner the runner's name
 * @param incarnation the run of the process that told, empty if none is linked
 * @param sequence the log sequence that it told with the same chain digest as here, zero if none
 */
public record RunnerAcknowledgement(String runner, String incarnation, long sequence) {

    /** Checks the names. */
    public RunnerAcknowledgement {
        Assert.hasText(runner, "runner");
        Assert.notNull(incarnation, "incarnation");
    }

    /**
     * Tells whether a process is linked.
     *
     * @return whether it is
     */
    public boolean isLinked() {
        return !incarnation.isEmpty();
    }
}
