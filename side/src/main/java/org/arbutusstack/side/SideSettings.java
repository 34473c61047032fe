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

    /** The bytes of the requests that may wait. */
    public static final Setting QUEUE_BYTES = Setting.number(
            "queue-bytes", 1_024, 1_073_741_824, 16_777_216, "bytes of requests that may wait at a side");

    /** The time that a streamed answer may go without a part. */
    public static final Setting STREAM_SILENCE = Setting.number(
            "stream-silence-millis", 100, 600_000, 10_000, "time a streamed answer may go without a part, in ms");

    /** The time that any other answer may go without a part. */
    public static final Setting ANSWER_SILENCE = Setting.number(
            "answer-silence-millis", 100, 600_000, 60_000, "time any other answer may go without a part, in ms");

    /** The time that strikes of requests that crash engines are remembered. */
    public static final Setting QUARANTINE = Setting.number(
            "quarantine-minutes", 1, 10_080, 60, "time that requests that crash engines are refused, in minutes");

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
     * Reads the limits of work.
     *
     * @param settings the checked settings
     * @return the limits
     */
    public static WorkLimits workLimits(Settings settings) {
        return new WorkLimits(
                (int) settings.number(QUEUE_LIMIT),
                settings.number(QUEUE_BYTES),
                (int) settings.number(SLOTS),
                settings.number(STREAM_SILENCE),
                settings.number(ANSWER_SILENCE),
                TimeUnit.MINUTES.toMillis(settings.number(QUARANTINE)));
    }

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
                QUEUE_BYTES,
                SLOTS,
                STREAM_SILENCE,
                ANSWER_SILENCE,
                QUARANTINE,
                CLAIM_RETENTION,
                CLAIM_COMMIT,
                CLAIM_ANSWER);
    }
}
