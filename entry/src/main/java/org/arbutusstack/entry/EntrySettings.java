package org.arbutusstack.entry;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Settings of an entry. */
public final class EntrySettings {

    /** Port for callers. */
    public static final Setting CALLER_PORT =
            Setting.number("caller-port", 0, 65_535, 8080, "port for callers (entry)");

    /** Port for operators. */
    public static final Setting OPERATOR_PORT =
            Setting.number("operator-port", 0, 65_535, 8081, "port for operators (entry)");

    /** Names of the operators with the digests of their tokens. */
    public static final Setting OPERATORS =
            Setting.text("operators", "", "operators as name:SHA-256 of token, joined by commas (entry)");

    /** Maximum size of a request body, in bytes. */
    public static final Setting MAX_BODY_BYTES = Setting.number(
            "longest-body-bytes", 1_024, 3L * 1_024 * 1_024, 1_048_576, "longest body of a request, in bytes (entry)");

    /** Deadline of a request that sets none, in milliseconds. */
    public static final Setting DEFAULT_DEADLINE = Setting.number(
            "default-deadline-millis", 100, 600_000, 30_000, "deadline of a request that names none, in ms (entry)");

    /** Number of entries in each availability zone that follow the key-value service as relays. */
    public static final Setting RELAYS_PER_ZONE =
            Setting.number("relays-per-zone", 1, 16, 2, "entries of a zone that follow the key-value service (entry)");

    /** Period at which a relay reads the host list, in milliseconds. */
    public static final Setting HOST_LIST_PERIOD = Setting.number(
            "host-list-period-millis", 100, 60_000, 500, "period at which a relay reads the host list, in ms (entry)");

    private EntrySettings() {}

    /**
     * Return all settings of an entry.
     *
     * @return the settings in declaration order
     */
    public static List<Setting> all() {
        return List.of(
                CALLER_PORT,
                OPERATOR_PORT,
                OPERATORS,
                MAX_BODY_BYTES,
                DEFAULT_DEADLINE,
                RELAYS_PER_ZONE,
                HOST_LIST_PERIOD);
    }
}
