package org.arbutusstack.bench.policy;

import org.HdrHistogram.Histogram;

/** Counts what became of requests, and unloads. Requests before the end of the warm-up are not counted. */
final class VirtualTotals {

    private static final long LONGEST_MICROS = 120_000_000;

    private static final long NANOS_PER_MICRO = 1_000;

    private final long warmUpNanos;

    private final Histogram firstToken = new Histogram(LONGEST_MICROS, 3);

    private int requests;

    private int inTime;

    private int refused;

    private int modelUnloads;

    VirtualTotals(long warmUpNanos) {
        this.warmUpNanos = warmUpNanos;
    }

    private boolean counts(VirtualRequest request) {
        return request.arrival().atNanos() >= warmUpNanos;
    }

    void arrived(VirtualRequest request) {
        requests += counts(request) ? 1 : 0;
    }

    void started(VirtualRequest request, long firstTokenNanos) {
        if (counts(request)) {
            firstToken.recordValue((firstTokenNanos - request.arrival().atNanos()) / NANOS_PER_MICRO);
        }
    }

    void ended(VirtualRequest request, long atNanos) {
        if (counts(request)) {
            inTime += atNanos <= request.deadlineNanos() ? 1 : 0;
        }
    }

    void refused(VirtualRequest request) {
        refused += counts(request) ? 1 : 0;
    }

    void modelUnloaded() {
        modelUnloads++;
    }

    int requests() {
        return requests;
    }

    int inTime() {
        return inTime;
    }

    int refusedCount() {
        return refused;
    }

    int modelUnloads() {
        return modelUnloads;
    }

    double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1e3;
    }
}
