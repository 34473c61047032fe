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
 * Reads settings from flags first, then from environment variables, then from defaults, and checks them all.
 *
 * <p>Every mistake is reported at once. Immutable after construction; {@link #parse} may be called by any thread.
 *
 * @see Setting
 */
public final class SettingsParser {

    private static final String OFF_PREFIX = "no-";

    private static final String HELP = "help";

    private static final String VERSION = "version";

    private final String program;

    private final List<Setting> settings;

    /**
     * Creates a parser.
     *
     * @param program the program's name, for {@code --help}
     * @param settings the settings that the program knows
     */
    public SettingsParser(String program, List<Setting> settings) {
        this.program = Assert.hasText(program, "program");
        this.settings = List.copyOf(Assert.notNull(settings, "settings"));
    }

    /**
     * Reads and checks.
     *
     * @param arguments the command line
     * @param environment the environment variables
     * @return the values, the mistakes, or what the user asked to read
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
            String text = textOf(setting, options, environment);
            String complaint = text == null ? "required" : setting.kind().complaint(setting, text);
            if (complaint != null) {
                String shown = text == null ? "" : setting.kind().shown(text);
                mistakes.add("--" + setting.name() + " (" + setting.variable() + "): value '" + shown + "', permitted: "
                        + complaint);
                continue;
            }
            texts.put(setting.name(), text);
        }
        if (!mistakes.isEmpty()) {
            return new SettingsResult.Invalid(mistakes);
        }
        List<String> rest =
                options.nonOptionArguments().stream().map(Object::toString).toList();
        return new SettingsResult.Valid(new Settings(texts), rest);
    }

    private static String textOf(Setting setting, OptionSet options, Map<String, String> environment) {
        if (setting.kind() == SettingKind.FLAG && options.has(setting.name())) {
            return Boolean.TRUE.toString();
        }
        if (setting.kind() == SettingKind.FLAG && options.has(OFF_PREFIX + setting.name())) {
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
                parser.accepts(OFF_PREFIX + setting.name(), "switches --" + setting.name() + " off");
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
            throw new IllegalStateException("Could not print help", impossible);
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
