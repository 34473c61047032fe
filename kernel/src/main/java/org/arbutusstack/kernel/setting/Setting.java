package org.arbutusstack.kernel.setting;

import java.util.Locale;
import org.arbutusstack.kernel.Assert;

/**
 * Definition of a setting: its name, its permitted values and its default.
 *
 * @param name the name of the flag without dashes, such as {@code link-port}
 * @param kind the kind, which determines how the value is validated
 * @param minimum the smallest number or the shortest secret permitted; unused for other kinds
 * @param maximum the largest number permitted, or the maximum length of the text in characters
 * @param defaultText the value if none is given; {@code null} if the setting is required
 * @param description one line for {@code --help}, with the unit
 */
public record Setting(
        String name, SettingKind kind, long minimum, long maximum, String defaultText, String description) {

    private static final long MAX_TEXT_LENGTH = 4_096;

    private static final String VARIABLE_PREFIX = "ARBUTUS_";

    /** Check the components. */
    public Setting {
        Assert.hasText(name, "name");
        Assert.notNull(kind, "kind");
        Assert.hasText(description, "description");
    }

    /**
     * Create a setting for a whole number.
     *
     * @param name the name of the flag without dashes
     * @param minimum the smallest number permitted
     * @param maximum the largest number permitted
     * @param defaultValue the value if none is given
     * @param description one line for {@code --help}, with the unit
     * @return the setting
     */
    public static Setting number(String name, long minimum, long maximum, long defaultValue, String description) {
        return new Setting(name, SettingKind.NUMBER, minimum, maximum, Long.toString(defaultValue), description);
    }

    /**
     * Create a setting for a text.
     *
     * @param name the name of the flag without dashes
     * @param defaultText the value if none is given; {@code null} if the setting is required
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting text(String name, String defaultText, String description) {
        return new Setting(name, SettingKind.TEXT, 0, MAX_TEXT_LENGTH, defaultText, description);
    }

    /**
     * Create a setting for an address of the form {@code host:port}.
     *
     * @param name the name of the flag without dashes
     * @param defaultText the value if none is given; {@code null} if the setting is required
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting address(String name, String defaultText, String description) {
        return new Setting(name, SettingKind.ADDRESS, 0, MAX_TEXT_LENGTH, defaultText, description);
    }

    /**
     * Create a setting for a secret, which is read from its environment variable only.
     *
     * @param name the name from which the name of the environment variable is derived
     * @param minLength the minimum number of characters
     * @param defaultText the value if none is given; {@code null} if the setting is required
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting secret(String name, int minLength, String defaultText, String description) {
        return new Setting(name, SettingKind.SECRET, minLength, MAX_TEXT_LENGTH, defaultText, description);
    }

    /**
     * Create a switch that is {@code true} or {@code false}.
     *
     * @param name the name of the flag without dashes
     * @param defaultValue the value if none is given
     * @param description one line for {@code --help}
     * @return the setting
     */
    public static Setting flag(String name, boolean defaultValue, String description) {
        return new Setting(name, SettingKind.FLAG, 0, 0, Boolean.toString(defaultValue), description);
    }

    /**
     * Return the environment variable that gives the same value.
     *
     * @return the variable's name
     */
    public String variable() {
        return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
