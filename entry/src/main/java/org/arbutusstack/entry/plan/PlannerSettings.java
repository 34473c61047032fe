package org.arbutusstack.entry.plan;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.placement.PlacementWeights;

/** Settings of the planner. */
public final class PlannerSettings {

    /** Name of the placement policy. */
    public static final Setting PLACEMENT_POLICY = Setting.text(
            "placement-policy", "BALANCED", "how copies follow demand: STATIC, FOLLOW_DEMAND or BALANCED (entry)");

    /** Number of requests that one copy of a model serves in time. */
    public static final Setting REQUESTS_PER_COPY = Setting.number(
            "requests-per-copy", 1, 10_000, 4, "requests waiting or running that one copy serves in time (entry)");

    /** Weight of requests served in time. */
    public static final Setting ATTAINMENT_WEIGHT =
            Setting.number("attainment-weight", 1, 1_000, 3, "weight of requests served in time (entry)");

    /** Weight of a model load, relative to that of requests served in time. */
    public static final Setting MOVE_WEIGHT =
            Setting.number("move-weight", 0, 1_000, 1, "weight of a model's load against attainment (entry)");

    /** Maximum number of concurrent model loads across a service. */
    public static final Setting MODEL_LOADS = Setting.number(
            "model-loads-at-once", 1, 1_000, 4, "models that may load at once over a whole service (entry)");

    /** Share of the memory of each runner reserved for adapters, in percent. */
    public static final Setting ADAPTER_RESERVE = Setting.number(
            "adapter-reserve-percent", 0, 90, 5, "part of each runner's memory left to adapters, in percent (entry)");

    /** Time for which a new planner waits for all runners to be reachable, in milliseconds. */
    public static final Setting PLANNER_SETTLE = Setting.number(
            "planner-settle-millis", 0, 600_000, 2_000, "wait of a new planner for all runners, in ms (entry)");

    /** Time for which the copies on an unreachable runner are still counted, in milliseconds. */
    public static final Setting RUNNER_ABSENT = Setting.number(
            "runner-absent-millis",
            0,
            3_600_000,
            10_000,
            "time for which copies on a runner out of reach count while others are ready, in ms (entry)");

    /** Time constant of the smoothed demand, in milliseconds. */
    public static final Setting DEMAND_SMOOTH = Setting.number(
            "demand-smooth-millis", 1, 600_000, 2_000, "time constant of the smoothed demand, in ms (entry)");

    /** Time constant with which a demand peak decays, in milliseconds. */
    public static final Setting DEMAND_HOLD = Setting.number(
            "demand-hold-millis",
            1,
            86_400_000,
            120_000,
            "time constant with which a demand peak fades, in ms (entry)");

    private PlannerSettings() {}

    /**
     * Return all settings of the planner.
     *
     * @return the settings in declaration order
     */
    public static List<Setting> all() {
        return List.of(
                PLACEMENT_POLICY,
                REQUESTS_PER_COPY,
                ATTAINMENT_WEIGHT,
                MOVE_WEIGHT,
                MODEL_LOADS,
                ADAPTER_RESERVE,
                PLANNER_SETTLE,
                RUNNER_ABSENT,
                DEMAND_SMOOTH,
                DEMAND_HOLD);
    }

    /**
     * Read the weights and limits of placement decisions from the settings.
     *
     * @param settings the validated settings
     * @return the weights and limits
     */
    public static PlacementWeights placementWeights(Settings settings) {
        return new PlacementWeights(
                (int) settings.number(REQUESTS_PER_COPY),
                (int) settings.number(ATTAINMENT_WEIGHT),
                (int) settings.number(MOVE_WEIGHT),
                (int) settings.number(MODEL_LOADS),
                (int) settings.number(ADAPTER_RESERVE));
    }
}
