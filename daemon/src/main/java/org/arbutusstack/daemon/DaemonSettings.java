package org.arbutusstack.daemon;

import java.util.ArrayList;
import java.util.List;
import org.arbutusstack.entry.EntrySettings;
import org.arbutusstack.entry.caller.CallerSettings;
import org.arbutusstack.entry.plan.PlannerSettings;
import org.arbutusstack.entry.router.RouterSettings;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.side.EngineSettings;
import org.arbutusstack.side.SideSettings;

/** Settings that the entry and the side have in common, and the list of all settings of the daemon. */
public final class DaemonSettings {

    private static final int MIN_LINK_KEY_LENGTH = 16;

    /** Role of the process, {@code entry} or {@code side}. */
    public static final Setting ROLE = Setting.text("role", null, "what this process does: entry or side");

    /** Name of this host in the host list. */
    public static final Setting NAME = Setting.text("name", null, "name of this host in the host list");

    /** Region of this host. */
    public static final Setting REGION = Setting.text("region", "default", "region of this host");

    /** Availability zone of this host. */
    public static final Setting ZONE = Setting.text("zone", null, "availability zone of this host");

    /** IP address to listen on. */
    public static final Setting ADDRESS = Setting.text("address", "127.0.0.1", "IP number to listen on");

    /** Port for links from other processes. */
    public static final Setting LINK_PORT =
            Setting.number("link-port", 0, 65_535, 7400, "port for links from other processes");

    /** Port of the HTTP listener for metrics, health and the state dump. */
    public static final Setting ADMIN_PORT =
            Setting.number("admin-port", 0, 65_535, 7401, "port for metrics, health and the state dump");

    /** Address of the key-value service. */
    public static final Setting STORE = Setting.address("store", null, "address of the key-value service");

    /** Address of the host list; entries only. */
    public static final Setting HOST_LIST = Setting.address("host-list", "", "address of the host list (entry)");

    /** Secret key shared by all processes of the system. */
    public static final Setting LINK_KEY =
            Setting.secret("link-key", MIN_LINK_KEY_LENGTH, null, "key that the system's processes share");

    /** Maximum duration of a graceful stop, in milliseconds. */
    public static final Setting DRAIN =
            Setting.number("drain-millis", 0, 3_600_000, 130_000, "time that a graceful stop may take, in ms");

    /** Interval between two anchors of the audit records, in seconds. */
    public static final Setting ANCHOR_PERIOD =
            Setting.number("audit-anchor-seconds", 1, 3_600, 60, "time between two anchors of audit records, in s");

    /** Retention time of the anchors, in days. */
    public static final Setting RETENTION =
            Setting.number("audit-retention-days", 1, 3_650, 90, "time that anchors are kept, in days");

    private DaemonSettings() {}

    /**
     * Return all settings of the daemon, including those that only one role uses.
     *
     * @return the settings in the order of the help text and the settings page
     */
    public static List<Setting> all() {
        List<Setting> all = new ArrayList<>(List.of(
                ROLE,
                NAME,
                REGION,
                ZONE,
                ADDRESS,
                LINK_PORT,
                ADMIN_PORT,
                STORE,
                HOST_LIST,
                LINK_KEY,
                DRAIN,
                ANCHOR_PERIOD,
                RETENTION));
        all.addAll(EntrySettings.all());
        all.addAll(PlannerSettings.all());
        all.addAll(CallerSettings.all());
        all.addAll(RouterSettings.all());
        all.addAll(SideSettings.all());
        all.addAll(EngineSettings.all());
        return all;
    }
}
