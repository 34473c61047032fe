package org.arbutusstack.kernel.setting;

import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.arbutusstack.kernel.Assert;

/**
 * Parser that resolves each setting from its flag, then its environment variable, then its default, and validates it.
 *
 * <p>All invalid settings are reported together. Immutable and thread-safe.
 *
 * @see Setting
 */
public final class SettingsParser {

    private static final String NEGATION_PREFIX = "no-";

    private static final String HELP = "help";

    private static final String VERSION = "version";

    private final String program;

    private final List<Setting> settings;

    /**
     * Create a parser.
     *
     * @param program the program's name, shown by {@code --help} and {@code --version}
     * @param settings the settings that the program accepts
     */
    public SettingsParser(String program, List<Setting> settings) {
        this.program = Assert.hasText(program, "program");
        this.settings = List.copyOf(Assert.notNull(settings, "settings"));
    }

    /**
     * Parse and validate the settings.
     *
     * @param arguments the arguments of the command line
     * @param environment the environment variables by name
     * @return the valid settings, the validation errors, or the help or version text that was requested
     */
    public SettingsResult parse(String[] arguments, Map<String, String> environment) {
        OptionParser parser = optionParser();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException malformed) {
            return new SettingsResult.Invalid(List.of(malformed.getMessage()));
        }
        if (options.has(HELP)) {
            return new SettingsResult.Information(helpText(parser));
        }
        if (options.has(VERSION)) {
            return new SettingsResult.Information(program + " " + version());
        }
        return check(options, environment);
    }

    private SettingsResult check(OptionSet options, Map<String, String> environment) {
        Map<String, String> texts = new HashMap<>();
        List<String> mistakes = new ArrayList<>();
        for (Setting setting : settings) {
            String text = resolveText(setting, options, environment);
            String permitted = text == null ? "required" : setting.kind().findViolation(setting, text);
            if (permitted != null) {
                String displayed = text == null ? "" : setting.kind().toDisplayText(text);
                mistakes.add("--" + setting.name() + " (" + setting.variable() + "): value '" + displayed
                        + "', permitted: " + permitted);
                continue;
            }
            texts.put(setting.name(), text);
        }
        if (!mistakes.isEmpty()) {
            return new SettingsResult.Invalid(mistakes);
        }
        List<String> remainingArguments =
                options.nonOptionArguments().stream().map(Object::toString).toList();
        return new SettingsResult.Valid(new Settings(texts), remainingArguments);
    }

    private static String resolveText(Setting setting, OptionSet options, Map<String, String> environment) {
        if (setting.kind() == SettingKind.FLAG && options.has(setting.name())) {
            return Boolean.TRUE.toString();
        }
        if (setting.kind() == SettingKind.FLAG && options.has(NEGATION_PREFIX + setting.name())) {
            return Boolean.FALSE.toString();
        }
        if (setting.kind().isFlag() && options.has(setting.name())) {
            return (String) options.valueOf(setting.name());
        }
        return environment.getOrDefault(setting.variable(), setting.defaultText());
    }

    private OptionParser optionParser() {
        OptionParser parser = new OptionParser();
        parser.accepts(HELP, "prints this text");
        parser.accepts(VERSION, "prints the version");
        for (Setting setting : settings) {
            if (!setting.kind().isFlag()) {
                continue;
            }
            String origin = "; also " + setting.variable();
            if (setting.kind() == SettingKind.FLAG) {
                parser.accepts(setting.name(), setting.description() + origin);
                parser.accepts(NEGATION_PREFIX + setting.name(), "switches --" + setting.name() + " off");
                continue;
            }
            String suffix = setting.defaultText() == null ? " (required" : " (default '" + setting.defaultText() + "'";
            parser.accepts(setting.name(), setting.description() + suffix + origin + ")")
                    .withRequiredArg();
        }
        return parser;
    }

    private String helpText(OptionParser parser) {
        StringWriter writer = new StringWriter();
        writer.write(program + ": settings are flags or environment variables\n");
        try {
            parser.printHelpOn(writer);
        } catch (IOException impossible) {
            throw new IllegalStateException("Could not print the help text", impossible);
        }
        settings.stream()
                .filter(setting -> !setting.kind().isFlag())
                .map(setting -> setting.variable() + " (variable only): " + setting.description() + "\n")
                .forEach(writer::write);
        return writer.toString();
    }

    private static String version() {
        String version = SettingsParser.class.getPackage().getImplementationVersion();
        return version == null ? "0.1.0" : version;
    }
}
