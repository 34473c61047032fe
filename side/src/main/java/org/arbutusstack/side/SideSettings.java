package org.arbutusstack.side;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.side.claim.ClaimLimits;

/** Settings of a side. */
public final class SideSettings {

    /** The service of the backend server beside this process. */
    public static final Setting SERVICE =
            Setting.text("service", "", "service of the backend server beside this process (side)");

    /** The address of the backend server beside this process. */
    public static final Setting BACKEND =
            Setting.address("backend", "", "address of the backend server beside this process (side)");

    /** The maximum number of queued requests. */
    public static final Setting QUEUE_LIMIT =
            Setting.number("queue-limit", 1, 100_000, 512, "requests that may wait at a side");

    /** The maximum number of requests that run on the backend server at the same time. */
    public static final Setting SLOTS =
            Setting.number("slots", 1, 4_096, 32, "requests handed to the backend server at once");

    /** The maximum size of the bodies of queued requests. */
    public static final Setting QUEUE_BYTES = Setting.number(
            "queue-bytes", 1_024, 1_073_741_824, 16_777_216, "bytes of requests that may wait at a side");

    /** The longest time between two parts of a streamed answer. */
    public static final Setting STREAM_SILENCE = Setting.number(
            "stream-silence-millis", 100, 600_000, 10_000, "time a streamed answer may go without a part, in ms");

    /** The longest time between two parts of any other answer. */
    public static final Setting ANSWER_SILENCE = Setting.number(
            "answer-silence-millis", 100, 600_000, 60_000, "time any other answer may go without a part, in ms");

    /** How long the strikes of a request that was in flight when an engine was lost are kept. */
    public static final Setting QUARANTINE = Setting.number(
            "quarantine-minutes", 1, 10_080, 60, "time that requests that crash engines are refused, in minutes");

    /** How long the claim of a call is kept. */
    public static final Setting CLAIM_RETENTION = Setting.number(
            "claim-retention-hours",
            1,
            720,
            48,
            "time that claims of calls that may not be repeated are kept, in hours");

    /** The minimum time between two writes of one claim bucket. */
    public static final Setting CLAIM_COMMIT = Setting.number(
            "claim-commit-millis", 10, 1_000, 100, "least time between two writes of a claim bucket, in ms");

    /** The maximum size of an answer's body that is recorded with a claim. */
    public static final Setting CLAIM_ANSWER =
            Setting.number("claim-answer-bytes", 0, 4_096, 1_024, "longest answer recorded with a claim, in bytes");

    private static final int SEAL_BYTES = 65_536;

    private SideSettings() {}

    /**
     * Return the limits of work.
     *
     * @param settings the validated settings
     * @return the limits of queued and running work
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
     * Return the limits of claims.
     *
     * @param settings the validated settings
     * @return the limits of claims of non-idempotent calls
     */
    public static ClaimLimits claimLimits(Settings settings) {
        return new ClaimLimits(
                TimeUnit.HOURS.toMillis(settings.number(CLAIM_RETENTION)),
                settings.number(CLAIM_COMMIT),
                (int) settings.number(CLAIM_ANSWER),
                SEAL_BYTES);
    }

    /**
     * Return all settings of this class.
     *
     * @return the settings, in the order in which they are listed to the operator
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
