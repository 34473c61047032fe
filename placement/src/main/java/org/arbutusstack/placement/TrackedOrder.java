package org.arbutusstack.placement;

/**
 * Progress of one order sent to an engine: its fencing token and whether the call that carried it has ended. Immutable.
 *
 * @param fence the fencing token
 * @param sentAtNanos when it was sent, in nanoseconds of the process clock
 * @param hasEnded whether the call has ended, with whatever outcome
 * @param endedAtNanos when the call ended, in nanoseconds of the process clock; undefined before
 */
record TrackedOrder(long fence, long sentAtNanos, boolean hasEnded, long endedAtNanos) {

    static TrackedOrder sent(long fence, long nowNanos) {
        return new TrackedOrder(fence, nowNanos, false, 0);
    }

    /** Create an order, sent by another process, for a resident that a memory report lists. */
    static TrackedOrder ofOtherProcess(EngineMemoryReport report) {
        return new TrackedOrder(report.fence(), report.requestedAtNanos(), true, report.requestedAtNanos());
    }

    TrackedOrder ended(long nowNanos) {
        return new TrackedOrder(fence, sentAtNanos, true, nowNanos);
    }

    /** Return whether the call ended before the memory report was requested. */
    boolean endedBefore(EngineMemoryReport report) {
        return hasEnded && report.requestedAtNanos() - endedAtNanos >= 0;
    }
}
