package org.arbutusstack.entry.plan;

import org.arbutusstack.kernel.setting.Settings;

/**
 * States the spans of time by which a planner goes.
 *
 * @param settleMillis how long a new holder waits for all runners, in milliseconds
 * @param absentMillis how long the copies of a runner that cannot be reached are counted, in milliseconds
 * @param smoothingMillis the time constant of the smoothed demand, in milliseconds
 * @param peakDecayMillis the time constant with which a peak of demand fades, in milliseconds
 */
public record PlannerTiming(long settleMillis, long absentMillis, long smoothingMillis, long peakDecayMillis) {

    /**
     * Reads the spans from the settings of an entry.
     *
     * @param settings the checked settings
     * @return the spans
     */
    public static PlannerTiming of(Settings settings) {
        return new PlannerTiming(
                settings.number(PlannerSettings.PLANNER_SETTLE),
                settings.number(PlannerSettings.RUNNER_ABSENT),
                settings.number(PlannerSettings.DEMAND_SMOOTH),
                settings.number(PlannerSettings.DEMAND_HOLD));
    }
}
