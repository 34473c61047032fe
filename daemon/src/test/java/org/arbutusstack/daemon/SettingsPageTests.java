package org.arbutusstack.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.SettingKind;
import org.arbutusstack.platform.PlatformSettings;
import org.testng.annotations.Test;

/**
 * Tests that docs/operations/settings.md matches the settings in the code; {@code -Dsettings.write=true} regenerates
 * the page.
 */
public class SettingsPageTests {

    private static final Path PAGE = Path.of("..", "docs", "operations", "settings.md");

    private static String page() {
        StringBuilder page = new StringBuilder("# Settings of arbutusd\n\n"
                + "Each is a flag or a variable; secrets are variables only. Written from the code by\n"
                + "`mvn -B -pl daemon -am test -Dtest=SettingsPageTests -Dsettings.write=true"
                + " -Dsurefire.failIfNoSpecifiedTests=false`.\n\n"
                + "| flag | variable | permitted | default | what it is |\n|---|---|---|---|---|\n");
        for (Setting setting : DaemonSettings.all()) {
            boolean secret = setting.kind() == SettingKind.SECRET;
            page.append("| ").append(secret ? "none" : "`--" + setting.name() + "`");
            page.append(" | `").append(setting.variable()).append("` | ").append(permitted(setting));
            page.append(" | ").append(defaultOf(setting)).append(" | ").append(setting.description());
            page.append(" |\n");
        }
        return page.append(zoneSection(PlatformSettings.ZONE_PENALTY))
                .append(holdSection(PlatformSettings.PROMPT_HOLD))
                .toString();
    }

    private static String zoneSection(Setting penalty) {
        return String.join(
                "\n",
                "",
                "## On the users' platform",
                "",
                "`" + penalty.variable() + "` (" + permitted(penalty) + ", default " + defaultOf(penalty)
                        + ", variable only) is the delay in ms",
                "that a request of usual size takes to stay in the availability zone of its entry (`platform-entry`),",
                "as traffic between zones costs money and time. Requests leave the zone only while it is slower than",
                "another one by more than that. 0 or unset: runners are chosen over all zones alike. Take several",
                "times the one-way delay between the zones, such as 20. See docs/design/zone-overflow.md.",
                "");
    }

    private static String holdSection(Setting hold) {
        return String.join(
                "\n",
                "",
                "`" + hold.variable() + "` (" + permitted(hold) + ", default " + defaultOf(hold)
                        + ", variable only) is the longest time in ms",
                "that an entry (`platform-entry`) holds a prompt, up to half of its target, while the prompts sent",
                "to its runners would make the streams there late. Applies to services with deferrable routes (a",
                "target of 5 s or more). 0 or unset: prompts are sent at once. See docs/design/room.md.",
                "");
    }

    private static String permitted(Setting setting) {
        return switch (setting.kind()) {
            case NUMBER -> setting.minimum() + " to " + setting.maximum();
            case TEXT -> "text";
            case ADDRESS -> "host:port";
            case SECRET -> "at least " + setting.minimum() + " characters";
            case FLAG -> "on or off";
        };
    }

    private static String defaultOf(Setting setting) {
        if (setting.defaultText() == null) {
            return "required";
        }
        return setting.defaultText().isEmpty() ? "none" : setting.defaultText();
    }

    @Test
    public void shouldListEverySettingWhenPageIsRead() throws IOException {
        if (Boolean.getBoolean("settings.write")) {
            Files.createDirectories(PAGE.getParent());
            Files.writeString(PAGE, page());
        }
        assertEquals(Files.readString(PAGE), page(), "write the page anew: see its head");
    }
}
