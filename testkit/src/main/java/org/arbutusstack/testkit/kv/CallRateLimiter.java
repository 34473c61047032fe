package org.arbutusstack.testkit.kv;

import java.util.function.LongSupplier;

/** Token bucket that limits the calls per second and allows a burst of a quarter of a second. Thread-safe. */
final class CallRateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double BURST_SECONDS = 0.25;

    private final double callsPerSecond;

    private final LongSupplier nowNanos;

    private double tokens;

    private long refilledAtNanos;

    private long acceptedCalls;

    CallRateLimiter(double callsPerSecond, LongSupplier nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.nowNanos = nowNanos;
        this.tokens = callsPerSecond * BURST_SECONDS;
        this.refilledAtNanos = nowNanos.getAsLong();
    }

    synchronized boolean tryAcquire() {
        long now = nowNanos.getAsLong();
        tokens += (now - refilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
        tokens = Math.min(tokens, callsPerSecond * BURST_SECONDS);
        refilledAtNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        acceptedCalls++;
        return true;
    }

    synchronized long count() {
        return acceptedCalls;
    }
}
