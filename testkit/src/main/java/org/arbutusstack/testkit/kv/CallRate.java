package org.arbutusstack.testkit.kv;

import java.util.function.LongSupplier;

/** Lets through a number of calls a second, with a burst of a quarter of a second. Safe for use by any thread. */
final class CallRate {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double BURST_SECONDS = 0.25;

    private final double callsPerSecond;

    private final LongSupplier nowNanos;

    private double tokens;

    private long filledAtNanos;

    private long taken;

    CallRate(double callsPerSecond, LongSupplier nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.nowNanos = nowNanos;
        this.tokens = callsPerSecond * BURST_SECONDS;
        this.filledAtNanos = nowNanos.getAsLong();
    }

    synchronized boolean take() {
        long now = nowNanos.getAsLong();
        tokens += (now - filledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
        tokens = Math.min(tokens, callsPerSecond * BURST_SECONDS);
        filledAtNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        taken++;
        return true;
    }

    synchronized long count() {
        return taken;
    }
}
