package org.arbutusstack.entry.member;

import org.arbutusstack.kernel.Assert;

/**
 * The ticket log sequence acknowledged by the process that manages a runner.
 *
 * @param runner the name of the runner
 * @param incarnation the incarnation of the acknowledging process; empty if no link is open
 * @param sequence the highest sequence acknowledged with the same chain digest as the local replica; 0 if none
 */
public record RunnerAcknowledgement(String runner, String incarnation, long sequence) {

    /** Validate the names. */
    public RunnerAcknowledgement {
        Assert.hasText(runner, "runner");
        Assert.notNull(incarnation, "incarnation");
    }

    /**
     * Return whether a process has an open link to this entry.
     *
     * @return {@code true} if a link is open
     */
    public boolean isLinked() {
        return !incarnation.isEmpty();
    }
}
