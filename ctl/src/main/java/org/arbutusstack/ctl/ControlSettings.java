package org.arbutusstack.ctl;

import java.util.List;
import org.arbutusstack.kernel.setting.Setting;

/** Settings of the operators' tool. */
final class ControlSettings {

    /** The operator addresses of the entries. */
    static final Setting ENTRIES =
            Setting.text("entries", "127.0.0.1:8081", "operators' addresses of entries, joined by commas");

    /** The access token of the operator. */
    static final Setting TOKEN = Setting.secret("token", 0, "", "token of the operator");

    /** Whether to print answers as JSON. */
    static final Setting JSON = Setting.flag("json", false, "prints answers as JSON");

    /** The time to wait for a submitted ticket to be in force, in seconds. */
    static final Setting WAIT =
            Setting.number("wait-seconds", 0, 600, 10, "time to wait for a submitted ticket to be in force, in s");

    /** Hosts to verify in addition to those that the files name. */
    static final Setting HOSTS =
            Setting.text("hosts", "", "hosts to verify besides those that the files name, joined by commas");

    /** How to print answers. */
    static final Setting OUTPUT = Setting.text("output", "text", "prints answers as text or json");

    /** The configuration in force, with which another one is compared. */
    static final Setting AGAINST = Setting.text("against", "", "file with the configuration in force (config check)");

    private ControlSettings() {}

    static List<Setting> all() {
        return List.of(ENTRIES, TOKEN, JSON, WAIT, HOSTS, OUTPUT, AGAINST);
    }
}
