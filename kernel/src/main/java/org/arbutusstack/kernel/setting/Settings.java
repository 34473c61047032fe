package org.arbutusstack.kernel.setting;

import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Holds the checked values of a process's settings.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param texts the value of each setting by its name
 * @see SettingsParser
 */
public record Settings(Map<String, String> texts) {

    /** Copies the values. */
    public Settings {
        texts = Map.copyOf(Assert.notNull(texts, "texts"));
    }

    /**
     * Reads a text.
     *
     * @param setting the setting
     * @return its value
     */
    public String text(Setting setting) {
        String text = texts.get(setting.name());
        Assert.isTrue(text != null, "'setting' " + setting.name() + " is not one of this process");
        return text;
    }

    /**
     * Reads a number.
     *
     * @param setting the setting
     * @return its value, in the unit of the setting's description
     */
    public long number(Setting setting) {
        return Long.parseLong(text(setting).trim());
    }

    /**
     * Names the settings without their values, some of which are secret.
     *
     * @return the names
     */
    @Override
    public String toString() {
        return "Settings" + texts.keySet();
    }

    /**
     * Reads a switch.
     *
     * @param setting the setting
     * @return its value
     */
    public boolean flag(Setting setting) {
        return Boolean.parseBoolean(text(setting));
    }
}
