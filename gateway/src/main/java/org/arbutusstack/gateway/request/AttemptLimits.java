package org.arbutusstack.gateway.request;

import org.arbutusstack.gateway.allotment.AllotmentGate;
import org.arbutusstack.gateway.pressure.Backpressure;
import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.kernel.Assert;

/**
 * Limits on the attempts of requests.
 *
 * @param retries the limits on retries
 * @param permits the permits of runners that limit their requests
 * @param allotments the gate for the requests of teams
 * @param maxHeldAnswerBytes the maximum size of all answers that are held until they can be relayed, in bytes
 * @param backpressure the bounds on what is held for slow callers and slow runners
 * @param maxPromptHoldMillis the longest time that a prompt is held for room, in milliseconds; zero for never
 */
public record AttemptLimits(
        RetryLimits retries,
        PermitClient permits,
        AllotmentGate allotments,
        long maxHeldAnswerBytes,
        Backpressure backpressure,
        long maxPromptHoldMillis) {

    /** Check the components. */
    public AttemptLimits {
        Assert.notNull(retries, "retries");
        Assert.notNull(permits, "permits");
        Assert.notNull(allotments, "allotments");
        Assert.atLeast(maxHeldAnswerBytes, 1, "maxHeldAnswerBytes");
        Assert.atLeast(maxPromptHoldMillis, 0, "maxPromptHoldMillis");
        Assert.notNull(backpressure, "backpressure");
    }

    /**
     * Create limits for the heap of this process.
     *
     * @param retries the limits on retries
     * @param permits the permits of runners that limit their requests
     * @param allotments the gate for the requests of teams
     * @param backpressure the bounds on what is held for slow callers and slow runners
     * @param maxPromptHoldMillis the longest time that a prompt is held for room, in milliseconds; zero for never
     * @return the limits
     */
    public static AttemptLimits ofProcess(
            RetryLimits retries,
            PermitClient permits,
            AllotmentGate allotments,
            Backpressure backpressure,
            long maxPromptHoldMillis) {
        return new AttemptLimits(
                retries, permits, allotments, AnswerMemory.maxBytesOfHeap(), backpressure, maxPromptHoldMillis);
    }
}
