package org.arbutusstack.side;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Settings of a side's orders to its engine. */
public final class EngineSettings {

    /** Whether the engine refuses an order with an old fencing token. */
    public static final Setting ENGINE_CHECKS_FENCE = Setting.flag(
            "engine-checks-fence",
            true,
            "whether the engine refuses old fencing numbers and keeps the highest one over its restarts (side)");

    /** The timeout of an order. */
    public static final Setting ORDER_TIMEOUT = Setting.number(
            "order-timeout-millis", 100, 600_000, 30_000, "wait for the answer to an order, in ms (side)");

    /** The longest time that an order can be in flight. */
    public static final Setting ORDER_DELAY_LIMIT = Setting.number(
            "order-delay-limit-millis",
            100,
            600_000,
            30_000,
            "longest that an order can be under way to an engine that ignores fencing numbers, in ms (side)");

    /** How long an ordered load may be missing in the engine's memory report. */
    public static final Setting ORDER_START_LIMIT = Setting.number(
            "order-start-limit-millis",
            100,
            600_000,
            3_000,
            "time after which a load missing in the engine's account is in doubt, in ms (side)");

    /** The maximum number of adapters that load at the same time. */
    public static final Setting ADAPTER_LOADS = Setting.number(
            "adapter-loads-at-once", 1, 1_000, 2, "adapters that may load at once, share of the weight store (side)");

    /** How long an adapter is kept after its last use. */
    public static final Setting ADAPTER_STICKY = Setting.number(
            "adapter-sticky-millis", 0, 3_600_000, 2_000, "time an adapter is kept after its last use, in ms (side)");

    private EngineSettings() {}

    /**
     * Return all settings of this class.
     *
     * @return the settings, in the order in which they are listed to the operator
     */
    public static List<Setting> all() {
        return List.of(
                ENGINE_CHECKS_FENCE,
                ORDER_TIMEOUT,
                ORDER_DELAY_LIMIT,
                ORDER_START_LIMIT,
                ADAPTER_LOADS,
                ADAPTER_STICKY);
    }
}
