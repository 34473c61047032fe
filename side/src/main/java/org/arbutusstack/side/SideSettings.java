package org.arbutusstack.side;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.side.claim.ClaimLimits;

/** Lists the settings of a side. */
public final class SideSettings {

    /** The service of the backend server beside the process. */
    public static final Setting SERVICE =
            Setting.text("service", "", "service of the backend server beside this process (side)");

    /** The address of the backend server beside the process. */
    public static final Setting BACKEND =
            Setting.address("backend", "", "address of the backend server beside this process (side)");

    /** The number of requests that may wait. */
    public static final Setting QUEUE_LIMIT =
            Setting.number("queue-limit", 1, 100_000, 512, "requests that may wait at a side");

    /** The number of requests handed to the backend server at once. */
    public static final Setting SLOTS =
            Setting.number("slots", 1, 4_096, 32, "requests handed to the backend server at once");

    /** Whether the engine refuses an order with an old fencing number. */
    public static final Setting ENGINE_CHECKS_FENCE = Setting.flag(
            "engine-checks-fence",
            true,
            "whether the engine refuses old fencing numbers and keeps the highest one over its restarts (side)");

    /** How long the answer to an order is waited for. */
    public static final Setting ORDER_TIMEOUT = Setting.number(
            "order-timeout-millis", 100, 600_000, 30_000, "wait for the answer to an order, in ms (side)");

    /** The longest that an order may be under way. */
    public static final Setting ORDER_DELAY_LIMIT = Setting.number(
            "order-delay-limit-millis",
            100,
            600_000,
            30_000,
            "longest that an order can be under way to an engine that ignores fencing numbers, in ms (side)");

    /** How long the engine's account may lack a load that was ordered. */
    public static final Setting ORDER_START_LIMIT = Setting.number(
            "order-start-limit-millis",
            100,
            600_000,
            3_000,
            "time after which a load missing in the engine's account is in doubt, in ms (side)");

    /** The number of adapters that may load at once. */
    public static final Setting ADAPTER_LOADS = Setting.number(
            "adapter-loads-at-once", 1, 1_000, 2, "adapters that may load at once, share of the weight store (side)");

    /** How long an adapter is kept after its last use. */
    public static final Setting ADAPTER_STICKY = Setting.number(
            "adapter-sticky-millis", 0, 3_600_000, 2_000, "time an adapter is kept after its last use, in ms (side)");
    /** The time that the claim of a call is kept. */
    public static final Setting CLAIM_RETENTION = Setting.number(
            "claim-retention-hours",
            1,
            720,
            48,
            "time that claims of calls that may not be repeated are kept, in hours");

    /** The least time between two writes of one claim bucket. */
    public static final Setting CLAIM_COMMIT = Setting.number(
            "claim-commit-millis", 10, 1_000, 100, "least time between two writes of a claim bucket, in ms");

    /** The longest body recorded with a claim. */
    public static final Setting CLAIM_ANSWER =
            Setting.number("claim-answer-bytes", 0, 4_096, 1_024, "longest answer recorded with a claim, in bytes");

    private static final int SEAL_BYTES = 65_536;

    private SideSettings() {}

    /**
     * Reads the limits of claims.
     *
     * @param settings the checked settings
     * @return the limits
     */
    public static ClaimLimits claimLimits(Settings settings) {
        return new ClaimLimits(
                TimeUnit.HOURS.toMillis(settings.number(CLAIM_RETENTION)),
                settings.number(CLAIM_COMMIT),
                (int) settings.number(CLAIM_ANSWER),
                SEAL_BYTES);
    }

    /**
     * Lists them all.
     *
     * @return the settings
     */
    public static List<Setting> all() {
        return List.of(
                SERVICE,
                BACKEND,
                QUEUE_LIMIT,
                SLOTS,
                ENGINE_CHECKS_FENCE,
                ORDER_TIMEOUT,
                ORDER_DELAY_LIMIT,
                ORDER_START_LIMIT,
                ADAPTER_LOADS,
                ADAPTER_STICKY,
                CLAIM_RETENTION,
                CLAIM_COMMIT,
                CLAIM_ANSWER);
    }
}
