package org.arbutusstack.ctl;

import java.util.List;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.setting.Setting;
import org.arbutusstack.kernel.setting.SettingsParser;
import org.arbutusstack.kernel.setting.SettingsResult;

/**
 * Runs the operators' tool.
 *
 * <p>Exit codes: 0 done, 1 refused, 2 not certain, 3 no entry answered, 64 wrong usage.
 */
public final class ArbutusControl {

    /** The entries' operator ports. */
    static final Setting ENTRIES =
            Setting.text("entries", "127.0.0.1:8081", "operators' addresses of entries, joined by commas");

    /** The token of the operator. */
    static final Setting TOKEN = Setting.secret("token", 0, "", "token of the operator");

    private static final String USAGE = String.join(
            System.lineSeparator(),
            "usage: arbutusctl [flags] COMMAND",
            "  ticket submit FILE   submits the ticket in FILE",
            "  ticket show NUMBER   shows a ticket and on how many runners it is in force",
            "  ticket list          lists the last tickets",
            "  status               shows runners and what is ready where",
            "  dump HOST:PORT       shows the state of the process with that admin port");

    private ArbutusControl() {}

    /**
     * Runs the program.
     *
     * @param arguments the flags and the command
     */
    public static void main(String[] arguments) {
        SettingsResult result =
                new SettingsParser("arbutusctl", List.of(ENTRIES, TOKEN)).parse(arguments, System.getenv());
        System.exit(run(result).code());
    }

    private static ExitCode run(SettingsResult result) {
        if (result instanceof SettingsResult.Information information) {
            System.out.println(information.text());
            System.out.println(USAGE);
            return ExitCode.DONE;
        }
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.mistakes().forEach(mistake -> System.err.println("arbutusctl: " + mistake));
            return ExitCode.USAGE;
        }
        SettingsResult.Valid valid = (SettingsResult.Valid) result;
        try (UndertowHttpClient client = new UndertowHttpClient("control", 1)) {
            return new Commands(client, valid.settings(), System.out, System.err, USAGE).run(valid.arguments());
        }
    }
}
