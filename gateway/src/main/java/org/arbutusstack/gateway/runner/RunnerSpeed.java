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

    private final HostLiveness liveness;

    private final FirstEventEstimator estimate = new FirstEventEstimator();

    private final PrefillSpeed prefillSpeed = new PrefillSpeed();

    /** Time by which first events came later than estimated when their requests were sent; negative if earlier. */
    private final FadingAverage excess;

    /** Time from sending a request to its complete answer, for answers that are no streams. */
    private final FadingAverage answers;

    private final UnreadPrompts prompts;

    private final StreamPauses pauses;

    RunnerSpeed(KnownRunner runner, HostLiveness liveness, UnreadPrompts prompts, Clock clock) {
        this.prompts = prompts;
        this.pauses = new StreamPauses(clock);
        this.runner = runner;
        this.liveness = liveness;
        this.excess = new FadingAverage(clock);
        this.answers = new FadingAverage(clock);
    }

    /**
     * Return the queue that a request sent now would find.
     *
     * @return the requests ahead of it and the expected wait for a slot
     */
    public QueueEstimate queueEstimate() {
        int unstarted = runner.unstarted();
        long slotWaitMillis = estimate.slotWaitMillis(unstarted, runner.running(), slots());
        return new QueueEstimate(unstarted, slotWaitMillis, firstEventMillis(), unreadPromptTokens());
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
        long millis = nanos / Clock.NANOS_PER_MILLI;
        long readMillis = millis - queueEstimate.slotWaitMillis();
        excess.add(millis - queueEstimate.firstEventMillis());
        estimate.observed(queueEstimate.unstarted(), readMillis);
        prefillSpeed.observed(queueEstimate.unreadTokens(), promptTokens, readMillis);
        pauses.streamBegan();
    }

    /** Record that an event of a stream was received after its first one. */
    public void recordEvent() {
        pauses.eventReceived();
    }

    /** Record that a stream whose first event was recorded has ended in any way. */
    public void recordStreamEnd() {
        pauses.streamEnded();
    }

    /**
     * Return how long the streams of this entry at the runner have had no event.
     *
     * @return the time in milliseconds; zero if no stream is running
     */
    public long pauseMillis() {
        return pauses.pauseMillis();
    }

    /**
     * Return the prompt tokens that all entries have sent to the runner and that it may not have read yet.
     *
     * @return the number of tokens, by the last status and the requests of this entry since
     */
    public long unreadPromptTokens() {
        return prompts.tokens();
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
     * Record a complete answer that is no stream.
     *
     * @param nanos the time from sending the request to its end, in nanoseconds
     */
    public void recordAnswer(long nanos) {
        answers.add(nanos / (double) Clock.NANOS_PER_MILLI);
    }

    /**
     * Return the usual time of answers that are no streams.
     *
     * @return the moving average in milliseconds; not a number if there was no answer recently
     */
    public double answerMillis() {
        return answers.isCurrent() ? answers.lastMillis() : Double.NaN;
    }

    /**
     * Return the measured delay that adds to the estimate, as on a slow link: the time from a status request to its
     * answer, and the time by which first events were later than estimated.
     *
     * @return the delay in milliseconds, which fades to zero without measurements
     */
    public double delayMillis() {
        return liveness.replyMillis() + Math.max(0, excess.millis());
    }

    /**
     * Return whether another request would wait for a slot.
     *
     * @return whether the requests at the runner take all its slots
     */
    public boolean isFull() {
        int load = runner.hasStatus() ? runner.unstarted() + runner.running() : runner.outstanding();
        return runner.entry().slots() > 0 && load >= runner.entry().slots();
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
     * @param firstEventMillis the expected time to the first event, in milliseconds
     * @param unreadTokens the prompt tokens that wait to be read
     */
    public record QueueEstimate(int unstarted, long slotWaitMillis, long firstEventMillis, long unreadTokens) {}
}
