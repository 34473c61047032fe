package org.arbutusstack.entry.plan;

import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.placement.DemandTracker;
import org.arbutusstack.placement.Planner;
import org.arbutusstack.store.KeyValueStore;

/**
 * The collaborators and settings shared by the planners of all services.
 *
 * @param identity the identity of this entry
 * @param store the client of the key-value service
 * @param plans the registry that receives the plans written
 * @param directory the directory of reachable runners
 * @param planner the algorithm that decides on placements
 * @param timing the time settings of the planner
 * @param clock the process clock
 * @param metrics the metrics of plans and placement changes
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
