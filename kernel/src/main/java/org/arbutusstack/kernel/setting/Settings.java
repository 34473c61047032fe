package org.arbutusstack.kernel.setting;

import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Validated settings of a process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param texts the value of each setting, by the name of the setting
 * @see SettingsParser
 */
public record Settings(Map<String, String> texts) {

    /** Copy the values. */
    public Settings {
        texts = Map.copyOf(Assert.notNull(texts, "texts"));
    }

    /**
     * Return the value of a setting as text.
     *
     * @param setting the setting to look up
     * @return the value
     */
    public String text(Setting setting) {
        String text = texts.get(setting.name());
        Assert.isTrue(text != null, "setting '" + setting.name() + "' is not defined for this process");
        return text;
    }

    /**
     * Return the value of a setting as a number.
     *
     * @param setting the setting to look up
     * @return the value, in the unit that the setting's description names
     */
    public long number(Setting setting) {
        return Long.parseLong(text(setting).trim());
    }

    /**
     * Return the names of the settings without their values, since some of them are secret.
     *
     * @return the names of the settings
     */
    @Override
    public String toString() {
        return "Settings" + texts.keySet();
    }

    /**
     * Return the value of a switch.
     *
     * @param setting the setting to look up
     * @return {@code true} if the switch is on
     */
    public boolean flag(Setting setting) {
        return Boolean.parseBoolean(text(setting));
    }
}
