package org.arbutusstack.side;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

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

    private SideSettings() {}

    /**
     * Lists them all.
     *
     * @return the settings
     */
    public static List<Setting> all() {
        return List.of(SERVICE, BACKEND, QUEUE_LIMIT, SLOTS);
    }
}
