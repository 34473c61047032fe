package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limit on the requests of all entries together that a runner names in its answers, as one entry knows it.
 *
 * <p>The limit holds until an answer to a request that was sent after the limit was last named comes without one: heads
 * of answers may overtake each other. Confined to the entry's event loop.
 */
public final class RunnerLimit {

    private static final Logger logger = LoggerFactory.getLogger(RunnerLimit.class);

    private final RunnerEntry runner;

    private final Clock clock;

    /** Requests per second; zero while no limit is known. */
    private double requestsPerSecond;

    private long firstNamedAtNanos;

    private long lastNamedAtNanos;

    /** Requests that this entry has sent since the limit was first named. */
    private int sent;

    RunnerLimit(RunnerEntry runner, Clock clock) {
        this.runner = Assert.notNull(runner, "runner");
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Record what an answer says about the limit.
     *
     * @param named the requests per second that it names; zero if it names no limit
     * @param sentAtNanos when the request was sent that it answers
     */
    public void record(double named, long sentAtNanos) {
        if (named > 0) {
            boolean isFirst = requestsPerSecond == 0;
            if (isFirst) {
                firstNamedAtNanos = clock.nowNanos();
                sent = 0;
            }
            if (named != requestsPerSecond) {
                logger.info(
                        "event=limit-named runner={} service={} per_second={} previous={} {}",
                        runner.id(),
                        runner.service(),
                        named,
                        requestsPerSecond,
                        describe());
            }
            lastNamedAtNanos = clock.nowNanos();
            requestsPerSecond = named;
        } else if (isActive() && sentAtNanos - lastNamedAtNanos > 0) {
            logger.info(
                    "event=limit-ended runner={} service={} per_second={} {}",
                    runner.id(),
                    runner.service(),
                    requestsPerSecond,
                    describe());
            requestsPerSecond = 0;
        }
    }

    /** Record that this entry sends a request to the runner. */
    void recordSent() {
        sent += isActive() ? 1 : 0;
    }

    /**
     * Return whether a limit is known.
     *
     * @return whether the runner has named a limit that has not ended
     */
    public boolean isActive() {
        return requestsPerSecond > 0;
    }

    /**
     * Describe the limit for logs.
     *
     * @return for how long it is known, how long ago it was named last, and what this entry has sent since it was first
     */
    public String describe() {
        return isActive()
                ? "known_ms=" + clock.millisSince(firstNamedAtNanos) + " age_ms=" + clock.millisSince(lastNamedAtNanos)
                        + " sent=" + sent
                : "known_ms=0";
    }
}
