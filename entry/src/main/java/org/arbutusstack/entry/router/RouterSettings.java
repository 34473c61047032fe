package org.arbutusstack.entry.router;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Settings of the router. */
public final class RouterSettings {

    /** Maximum number of requests in flight. */
    public static final Setting MAX_REQUESTS =
            Setting.number("most-requests", 1, 100_000, 2_048, "requests in hand at once (entry)");

    /** Share of the maximum available to bulk requests, in percent. */
    public static final Setting BULK_PERCENT =
            Setting.number("bulk-percent", 1, 100, 50, "share of most-requests that bulk may have, in percent (entry)");

    /** Name of the routing policy. */
    public static final Setting ROUTING_POLICY = Setting.text(
            "routing-policy", "BALANCED", "how runners are chosen: ROUND_ROBIN, LEAST_OUTSTANDING or BALANCED (entry)");

    /** Maximum number of requests that wait for a runner of the same model. */
    public static final Setting MAX_WAITING =
            Setting.number("most-waiting", 0, 100_000, 512, "requests that wait for a runner of one model (entry)");

    /** Maximum number of attempts of a request. */
    public static final Setting MAX_ATTEMPTS =
            Setting.number("most-attempts", 1, 16, 4, "attempts of one request (entry)");

    /** Number of retries permitted per hundred requests. */
    public static final Setting RETRY_PERCENT =
            Setting.number("retry-percent", 0, 100, 20, "retries permitted for a hundred requests (entry)");

    /** Number of retries permitted in a burst. */
    public static final Setting RETRY_RESERVE =
            Setting.number("retry-reserve", 0, 100_000, 512, "retries permitted at once (entry)");

    /** Maximum size of an answer that is not a stream, in bytes. */
    public static final Setting MAX_ANSWER_BYTES = Setting.number(
            "longest-answer-bytes", 1_024, 64L * 1_024 * 1_024, 2_097_152, "longest plain answer, in bytes (entry)");

    /** Maximum total size of buffered answers, in bytes. */
    public static final Setting MAX_BUFFERED_BYTES = Setting.number(
            "most-buffered-bytes",
            65_536,
            1_024L * 1_024 * 1_024,
            8_388_608,
            "answers buffered at once, in bytes (entry)");

    /** Time within which a side has to confirm a request, in milliseconds. */
    public static final Setting RECEIPT_TIMEOUT =
            Setting.number("receipt-millis", 50, 60_000, 1_000, "time for a side's receipt, in ms (entry)");

    /** Period of heartbeats on a link, in milliseconds. */
    public static final Setting HEARTBEAT_PERIOD =
            Setting.number("heartbeat-millis", 100, 60_000, 4_000, "period of link heartbeats, in ms (entry)");

    /** Time without received data after which a link is closed, in milliseconds. */
    public static final Setting MAX_LINK_SILENCE = Setting.number(
            "link-silence-millis", 2_000, 60_000, 3_500, "silence after which a link is given up, in ms (entry)");

    private RouterSettings() {}

    /**
     * Return all settings of the router.
     *
     * @return the settings in declaration order
     */
    public static List<Setting> all() {
        return List.of(
                MAX_REQUESTS,
                BULK_PERCENT,
                ROUTING_POLICY,
                MAX_WAITING,
                MAX_ATTEMPTS,
                RETRY_PERCENT,
                RETRY_RESERVE,
                MAX_ANSWER_BYTES,
                MAX_BUFFERED_BYTES,
                RECEIPT_TIMEOUT,
                HEARTBEAT_PERIOD,
                MAX_LINK_SILENCE);
    }
}
