package org.arbutusstack.entry.caller;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Settings of the listener for callers. */
public final class CallerSettings {

    /** Maximum deadline that a caller may set, in milliseconds. */
    public static final Setting MAX_DEADLINE = Setting.number(
            "longest-deadline-millis", 100, 600_000, 120_000, "longest deadline of a request, in ms (entry)");

    /** Time for which a draining entry still accepts requests while it reports itself not ready, in milliseconds. */
    public static final Setting DRAIN_NOTICE = Setting.number(
            "drain-notice-millis",
            0,
            600_000,
            3_000,
            "time a stopping entry still takes requests while not ready, in ms (entry)");

    private CallerSettings() {}

    /**
     * Return all settings of the listener for callers.
     *
     * @return the settings in declaration order
     */
    public static List<Setting> all() {
        return List.of(MAX_DEADLINE, DRAIN_NOTICE);
    }
}
