package org.arbutusstack.gateway.runner;

import org.arbutusstack.kernel.time.Clock;

/**
 * Moving average of a time that is measured only while a runner is used. It fades to zero without samples, so that a
 * runner that was slow is tried again. Not thread-safe.
 */
final class FadingAverage {

    private static final double SMOOTHING_FACTOR = 0.3;

    /** Time constant of the fading: the slow phases of links and servers last from under a second to several. */
    private static final double FADING_NANOS = 5_000.0 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    private double average;

    private boolean sampled;

    private long sampledAtNanos;

    FadingAverage(Clock clock) {
        this.clock = clock;
    }

    /** Add a sample, in milliseconds. */
    void add(double millis) {
        average = sampled ? average + SMOOTHING_FACTOR * (millis - average) : millis;
        sampled = true;
        sampledAtNanos = clock.nowNanos();
    }

    /** Return the average in milliseconds, faded by the age of the last sample; zero if there is none. */
    double millis() {
        return average == 0 ? 0 : average * Math.exp((sampledAtNanos - clock.nowNanos()) / FADING_NANOS);
    }

    /** Return whether the last sample is recent enough to describe the present. */
    boolean isCurrent() {
        return sampled && clock.nowNanos() - sampledAtNanos < FADING_NANOS;
    }

    /** Return the average without fading, in milliseconds. */
    double lastMillis() {
        return average;
    }
}
