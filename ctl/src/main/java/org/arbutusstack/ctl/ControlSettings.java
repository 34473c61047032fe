package org.arbutusstack.ctl;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Lists the settings of the operators' tool. */
final class ControlSettings {

    /** The entries' operator ports. */
    static final Setting ENTRIES =
            Setting.text("entries", "127.0.0.1:8081", "operators' addresses of entries, joined by commas");

    /** The token of the operator. */
    static final Setting TOKEN = Setting.secret("token", 0, "", "token of the operator");

    /** Whether answers are printed as JSON. */
    static final Setting JSON = Setting.flag("json", false, "prints answers as JSON");

    /** The time to wait for a ticket to be in force. */
    static final Setting WAIT =
            Setting.number("wait-seconds", 0, 600, 10, "time to wait for a submitted ticket to be in force, in s");

    /** Hosts to verify besides those that the files name. */
    static final Setting HOSTS =
            Setting.text("hosts", "", "hosts to verify besides those that the files name, joined by commas");

    private ControlSettings() {}

    static List<Setting> all() {
        return List.of(ENTRIES, TOKEN, JSON, WAIT, HOSTS);
    }
}
