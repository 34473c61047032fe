package org.arbutusstack.kernel.setting;

import java.util.List;

/** Tells what became of reading the settings. */
public sealed interface SettingsResult {

    /**
     * Every setting is permitted.
     *
     * @param settings the values
     * @param arguments what stood on the command line besides flags
     */
    record Valid(Settings settings, List<String> arguments) implements SettingsResult {}

    /**
     * At least one setting is not permitted.
     *
     * @param mistakes one line for each mistake: setting, value and what is permitted
     */
    record Invalid(List<String> mistakes) implements SettingsResult {}

    /**
     * The user asked for help or the version; nothing is to be started.
     *
     * @param text what to print
     */
    record Information(String text) implements SettingsResult {}
}
