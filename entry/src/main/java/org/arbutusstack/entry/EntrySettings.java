package org.arbutusstack.entry;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Lists the settings of an entry. */
public final class EntrySettings {

    /** The port for callers. */
    public static final Setting CALLER_PORT =
            Setting.number("caller-port", 0, 65_535, 8080, "port for callers (entry)");

    /** The port for operators. */
    public static final Setting OPERATOR_PORT =
            Setting.number("operator-port", 0, 65_535, 8081, "port for operators (entry)");

    /** The operators and the digests of their tokens. */
    public static final Setting OPERATORS =
            Setting.text("operators", "", "operators as name:SHA-256 of token, joined by commas (entry)");

    /** The longest body of a request. */
    public static final Setting MAX_BODY_BYTES = Setting.number(
            "longest-body-bytes", 1_024, 3L * 1_024 * 1_024, 1_048_576, "longest body of a request, in bytes (entry)");

    /** The deadline of a request that names none. */
    public static final Setting DEFAULT_DEADLINE = Setting.number(
            "default-deadline-millis", 100, 600_000, 30_000, "deadline of a request that names none, in ms (entry)");

    /** The number of entries of an availability zone that read the ticket log from the key-value service. */
    public static final Setting RELAYS_PER_ZONE =
            Setting.number("relays-per-zone", 1, 16, 2, "entries of a zone that follow the key-value service (entry)");

    /** The period at which a relay reads the host list. */
    public static final Setting HOST_LIST_PERIOD = Setting.number(
            "host-list-period-millis", 100, 60_000, 500, "period at which a relay reads the host list, in ms (entry)");

    private EntrySettings() {}

    /**
     * Lists them all.
     *
     * @return the settings
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
