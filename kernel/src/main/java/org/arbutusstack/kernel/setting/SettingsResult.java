package org.arbutusstack.kernel.setting;

import java.util.List;

/** Outcome of parsing the settings of a process. */
public sealed interface SettingsResult {

    /**
     * Outcome in which every setting is valid.
     *
     * @param settings the validated settings
     * @param arguments the arguments of the command line that are not flags
     */
    record Valid(Settings settings, List<String> arguments) implements SettingsResult {}

    /**
     * Outcome in which at least one setting is missing or invalid.
     *
     * @param mistakes one line for each invalid setting, with its name, its value and the permitted values
     */
    record Invalid(List<String> mistakes) implements SettingsResult {}

    /**
     * Outcome in which the user requested the help or the version; the process must not start.
     *
     * @param text the text to print
     */
    record Information(String text) implements SettingsResult {}
}
