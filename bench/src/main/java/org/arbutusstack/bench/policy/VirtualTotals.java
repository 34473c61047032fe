package org.arbutusstack.bench.policy;

import org.HdrHistogram.Histogram;

/** Counts of requests, outcomes and unloads. Requests that arrive during the warm-up are not counted; unloads are. */
final class VirtualTotals {

    private static final long MAX_MICROS = 120_000_000;

    private static final long NANOS_PER_MICRO = 1_000;

    private final long warmUpNanos;

    private final Histogram firstToken = new Histogram(MAX_MICROS, 3);

    private int requests;

    private int inTime;

    private int refused;

    private int modelUnloads;

    VirtualTotals(long warmUpNanos) {
        this.warmUpNanos = warmUpNanos;
    }

    private boolean isCounted(VirtualRequest request) {
        return request.arrival().atNanos() >= warmUpNanos;
    }

    void recordArrival(VirtualRequest request) {
        requests += isCounted(request) ? 1 : 0;
    }

    void recordStart(VirtualRequest request, long firstTokenNanos) {
        if (isCounted(request)) {
            firstToken.recordValue((firstTokenNanos - request.arrival().atNanos()) / NANOS_PER_MICRO);
        }
    }

    void recordEnd(VirtualRequest request, long atNanos) {
        if (isCounted(request)) {
            inTime += atNanos <= request.deadlineNanos() ? 1 : 0;
        }
    }

    void recordRefusal(VirtualRequest request) {
        refused += isCounted(request) ? 1 : 0;
    }

    void recordModelUnload() {
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
