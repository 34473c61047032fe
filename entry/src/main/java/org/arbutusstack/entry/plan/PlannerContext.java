package org.arbutusstack.entry.plan;

import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.DemandTracker;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.store.KeyValueStore;

/**
 * Holds what the planners of all services use.
 *
 * @param identity who the entry is
 * @param store the key-value service
 * @param plans takes the plans written
 * @param directory tells the runners
 * @param planner decides
 * @param timing the spans of time
 * @param clock the clock of the process
 * @param metrics counts plans and moves
 */
record PlannerContext(
        EntryIdentity identity,
        KeyValueStore store,
        PlanRegistry plans,
        RunnerDirectory directory,
        Planner planner,
        PlannerTiming timing,
        Clock clock,
        PlannerMetrics metrics) {

    static final long CALL_MILLIS = 1_000;

    long deadlineNanos() {
        return clock.deadlineNanos(CALL_MILLIS);
    }

    long settleMillis() {
        return timing.settleMillis();
    }

    long absentMillis() {
        return timing.absentMillis();
    }

    DemandTracker newDemandTracker() {
        return new DemandTracker(timing.smoothingMillis(), timing.peakDecayMillis());
    }
}
