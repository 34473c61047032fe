package org.arbutusstack.kernel.setting;

import java.util.Locale;
import org.arbutusstack.kernel.Assert;

/**
 * Describes one setting: its flag, its permitted values and its default.
 *
 * @param name the flag without dashes, such as {@code link-port}
 * @param kind how its text is checked
 * @param minimum the smallest number permitted; unused for texts
 * @param maximum the largest number permitted, or the longest text
 * @param defaultText the value when none is given; {@code null} if the setting is required
 * @param description one line for {@code --help}, with the unit
 */
public record Setting(
        String name, SettingKind kind, long minimum, long maximum, String defaultText, String description) {

    private static final long LONGEST_TEXT = 4_096;

    private static final String VARIABLE_PREFIX = "ARBUTUS_";

    /** Checks the description. */
    public Setting {
        Assert.hasText(name, "name");
        Assert.notNull(kind, "kind");
        Assert.hasText(description, "description");
    }

    /**
     * Describes a whole number.
     *
     * @param name the flag without dashes
     * @param minimum the smallest number permitted
     * @param maximum the largest number permitted
     * @param defaultValue the value when none is given
     * @param description one line for {@code --help}, with the unit
     * @return the setting
     */
    public static Setting number(String name, long minimum, long maximum, long defaultValue, String description) {
        return new Setting(name, SettingKind.NUMBER, minimum, maximum, Long.toString(defaultValue), description);
    }

    /**
     * Describes a text.
     *
     * @param name the flag without dashes
     * @param defaultText the value when none is given; {@code null} if the setting is required
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting text(String name, String defaultText, String description) {
        return new Setting(name, SettingKind.TEXT, 0, LONGEST_TEXT, defaultText, description);
    }

    /**
     * Describes an address of the form {@code host:port}.
     *
     * @param name the flag without dashes
     * @param defaultText the value when none is given; {@code null} if the setting is required
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting address(String name, String defaultText, String description) {
        return new Setting(name, SettingKind.ADDRESS, 0, LONGEST_TEXT, defaultText, description);
    }

    /**
     * Describes a secret, which is given by its variable only.
     *
     * @param name the name from which the variable's follows
     * @param shortest the least number of characters
     * @param defaultText the value when none is given; {@code null} if the setting is required
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting secret(String name, int shortest, String defaultText, String description) {
        return new Setting(name, SettingKind.SECRET, shortest, LONGEST_TEXT, defaultText, description);
    }

    /**
     * Describes a switch that is {@code true} or {@code false}.
     *
     * @param name the flag without dashes
     * @param defaultValue the value when none is given
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting flag(String name, boolean defaultValue, String description) {
        return new Setting(name, SettingKind.FLAG, 0, 0, Boolean.toString(defaultValue), description);
    }

    /**
     * Names the environment variable that gives the same value.
     *
     * @return the variable's name
     */
    public String variable() {
        return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
