package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.routing.FirstEventEstimate;

/** Learns how fast a runner begins and ends requests of this entry. Used by the entry's loop only. */
public final class RunnerSpeed {

    private final KnownRunner runner;

    private final FirstEventEstimate estimate = new FirstEventEstimate();

    RunnerSpeed(KnownRunner runner) {
        this.runner = runner;
    }

    /**
     * Tells what a request finds that is sent now.
     *
     * @return the requests ahead of it
     */
    public QueueEstimate queueEstimate() {
        int unstarted = runner.unstarted();
        return new QueueEstimate(unstarted, estimate.slotMillis(unstarted, runner.running(), slots()));
    }

    /** Some runners do not say how many slots they have. */
    private int slots() {
        return Math.max(1, runner.entry().slots());
    }

    /**
     * Learns when a request made its first event.
     *
     * @param queueEstimate what it found when it was sent
     * @param nanos the time since then
     */
    public void recordFirstEvent(QueueEstimate queueEstimate, long nanos) {
        estimate.observed(queueEstimate.unstarted(), nanos / Clock.NANOS_PER_MILLI - queueEstimate.slotMillis());
    }

    /**
     * Learns when a stream ended whole.
     *
     * @param nanos the time from its first event
     */
    public void recordCompletion(long nanos) {
        estimate.ended(nanos / Clock.NANOS_PER_MILLI);
    }

    /**
     * Estimates when one more request would make its first event.
     *
     * @return the time in milliseconds
     */
    public long firstEventMillis() {
        return estimate.millis(runner.unstarted(), runner.running(), slots());
    }

    /**
     * Tells what a request finds at a runner.
     *
     * @param unstarted the requests without a first event
     * @param slotMillis the time that it is expected to wait for a slot
     */
    public record QueueEstimate(int unstarted, long slotMillis) {}
}
