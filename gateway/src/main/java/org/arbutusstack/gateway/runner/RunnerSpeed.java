package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.FirstEventEstimator;
import org.arbutusstack.routing.PrefillSpeed;

/**
 * Estimator of how fast a runner starts and completes requests, from those that this entry has sent. Confined to the
 * entry's event loop.
 */
public final class RunnerSpeed {

    private final KnownRunner runner;

    private final FirstEventEstimator estimate = new FirstEventEstimator();

    private final PrefillSpeed prefillSpeed = new PrefillSpeed();

    RunnerSpeed(KnownRunner runner) {
        this.runner = runner;
    }

    /**
     * Return the queue that a request sent now would find.
     *
     * @return the requests ahead of it and the expected wait for a slot
     */
    public QueueEstimate queueEstimate() {
        int unstarted = runner.unstarted();
        long slotWaitMillis = estimate.slotWaitMillis(unstarted, runner.running(), slots());
        return new QueueEstimate(unstarted, slotWaitMillis, runner.unreadPromptTokens());
    }

    /** Return the number of slots; one if the runner does not report it. */
    private int slots() {
        return Math.max(1, runner.entry().slots());
    }

    /**
     * Record the time to the first event of a request.
     *
     * @param queueEstimate the queue when the request was sent
     * @param promptTokens the number of tokens in the request's prompt
     * @param nanos the time from then to the first event, in nanoseconds
     */
    public void recordFirstEvent(QueueEstimate queueEstimate, int promptTokens, long nanos) {
        long millis = nanos / Clock.NANOS_PER_MILLI - queueEstimate.slotWaitMillis();
        estimate.observed(queueEstimate.unstarted(), millis);
        prefillSpeed.observed(queueEstimate.unreadTokens() + promptTokens, millis);
    }

    /**
     * Return how fast the runner reads prompts.
     *
     * @return the estimate in tokens per millisecond
     */
    public double prefillTokensPerMilli() {
        return prefillSpeed.tokensPerMilli();
    }

    /**
     * Record a stream that was completed.
     *
     * @param nanos the time from its first event to its end, in nanoseconds
     */
    public void recordCompletion(long nanos) {
        estimate.ended(nanos / Clock.NANOS_PER_MILLI);
    }

    /**
     * Estimate the time to the first event of one more request.
     *
     * @return the time from now, in milliseconds
     */
    public long firstEventMillis() {
        return estimate.millis(runner.unstarted(), runner.running(), slots());
    }

    /**
     * Queue that a request finds at a runner.
     *
     * @param unstarted the number of requests without a first event
     * @param slotWaitMillis the expected wait for a slot, in milliseconds
     * @param unreadTokens the prompt tokens that wait to be read
     */
    public record QueueEstimate(int unstarted, long slotWaitMillis, long unreadTokens) {}
}
