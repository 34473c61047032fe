package org.arbutusstack.entry.plan;

import org.arbutusstack.kernel.setting.Settings;

/**
 * Time settings of the planner.
 *
 * @param settleMillis the time for which a new planner waits for all runners to be reachable, in milliseconds
 * @param absentMillis the time for which the copies on an unreachable runner are still counted, in milliseconds
 * @param smoothingMillis the time constant of the smoothed demand, in milliseconds
 * @param peakDecayMillis the time constant with which a demand peak decays, in milliseconds
 */
public record PlannerTiming(long settleMillis, long absentMillis, long smoothingMillis, long peakDecayMillis) {

    /**
     * Read the time settings of an entry.
     *
     * @param settings the validated settings
     * @return the time settings
     */
    public static PlannerTiming of(Settings settings) {
        return new PlannerTiming(
                settings.number(PlannerSettings.PLANNER_SETTLE),
                settings.number(PlannerSettings.RUNNER_ABSENT),
                settings.number(PlannerSettings.DEMAND_SMOOTH),
                settings.number(PlannerSettings.DEMAND_HOLD));
    }
}
