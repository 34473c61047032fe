package org.arbutusstack.entry.caller;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Lists the settings of the listener for callers. */
public final class CallerSettings {

    /** The longest deadline that a caller may ask for. */
    public static final Setting MAX_DEADLINE = Setting.number(
            "longest-deadline-millis", 100, 600_000, 120_000, "longest deadline of a request, in ms (entry)");

    /** How long a stopping entry still takes requests after it has turned not ready. */
    public static final Setting DRAIN_NOTICE = Setting.number(
            "drain-notice-millis",
            0,
            600_000,
            3_000,
            "time a stopping entry still takes requests while not ready, in ms (entry)");

    private CallerSettings() {}

    /**
     * Lists them all.
     *
     * @return the settings
     */
    public static List<Setting> all() {
        return List.of(MAX_DEADLINE, DRAIN_NOTICE);
    }
}
