package org.arbutusstack.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutusstack.ctl.explain.ExplainCommand;
import org.arbutusstack.ctl.explain.StoryLine;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.kernel.setting.SettingsParser;
import org.arbutusstack.kernel.setting.SettingsResult;

/**
 * Runs the operators' tool.
 *
 * <p>Exit codes: see {@link ExitCode}.
 */
public final class ArbutusControl {

    private static final String USAGE = String.join(
            System.lineSeparator(),
            "usage: arbutusctl [flags] COMMAND",
            "  ticket submit FILE        submits the ticket in FILE and waits until it is in force",
            "  ticket show NUMBER        shows a ticket and on how many runners it is in force",
            "  ticket list               lists the last tickets",
            "  status                    shows runners and which models are ready where",
            "  dump HOST:PORT            shows the state of the process with that admin port",
            "  audit change N [FILE...]  shows who changed what when, and where it came into force",
            "  audit request ID FILE...  shows what became of a request, from collected records",
            "  audit verify FILE...      verifies collected records against their anchors",
            "  explain ID FILE...        tells what became of a request, from the logs of all processes",
            "exit codes: 0 done, 1 refused or fault found, 2 not certain, 3 not reachable, 64 wrong usage");

    private final Output output;

    private final TicketCommands tickets;

    private final StatusCommands status;

    private final AuditCommands audit;

    private ArbutusControl(EntryClient entries, Output output, Settings settings) {
        this.output = output;
        this.tickets = new TicketCommands(entries, output, settings.number(ControlSettings.WAIT));
        this.status = new StatusCommands(entries, output);
        this.audit = new AuditCommands(entries, output, hostsOf(settings));
    }

    private static Set<String> hostsOf(Settings settings) {
        return Arrays.stream(settings.text(ControlSettings.HOSTS).split(","))
                .map(String::trim)
                .filter(host -> !host.isEmpty())
                .collect(Collectors.toSet());
    }

    /**
     * Runs the program.
     *
     * @param arguments the flags and the command
     */
    public static void main(String[] arguments) {
        SettingsResult result =
                new SettingsParser("arbutusctl", ControlSettings.all()).parse(arguments, System.getenv());
        System.exit(run(result, System.out, System.err).code());
    }

    static ExitCode run(SettingsResult result, PrintStream out, PrintStream err) {
        if (result instanceof SettingsResult.Information information) {
            out.println(information.text());
            out.println(USAGE);
            return ExitCode.DONE;
        }
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.mistakes().forEach(mistake -> err.println("arbutusctl: " + mistake));
            return ExitCode.USAGE;
        }
        SettingsResult.Valid valid = (SettingsResult.Valid) result;
        Settings settings = valid.settings();
        Output output = new Output(out, err, settings.flag(ControlSettings.JSON));
        try (UndertowHttpClient client = new UndertowHttpClient("control", 1)) {
            return new ArbutusControl(new EntryClient(client, settings, err), output, settings).run(valid.arguments());
        } catch (IllegalArgumentException mistake) {
            output.error(mistake.getMessage());
            return ExitCode.USAGE;
        }
    }

    private ExitCode run(List<String> words) {
        String topic = words.isEmpty() ? "" : words.get(0);
        List<String> rest = words.isEmpty() ? words : words.subList(1, words.size());
        return switch (topic) {
            case "ticket" -> ticket(rest);
            case "audit" -> audit(rest);
            case "status" -> rest.isEmpty() ? status.status() : usage();
            case "explain" -> rest.size() > 1 ? explain(rest) : usage();
            case "dump" -> rest.size() == 1 ? status.dump(rest.get(0)) : usage();
            default -> usage();
        };
    }

    private ExitCode ticket(List<String> words) {
        if (words.equals(List.of("list"))) {
            return tickets.list();
        }
        if (words.size() != 2) {
            return usage();
        }
        return switch (words.get(0)) {
            case "submit" -> tickets.submit(Path.of(words.get(1)));
            case "show" -> tickets.show(words.get(1));
            default -> usage();
        };
    }

    private ExitCode audit(List<String> words) {
        if (words.size() < 2) {
            return usage();
        }
        List<Path> afterFirst = words.stream().skip(1).map(Path::of).toList();
        List<Path> afterSecond = words.stream().skip(2).map(Path::of).toList();
        return switch (words.get(0)) {
            case "verify" -> audit.verify(afterFirst);
            case "change" -> audit.change(words.get(1), afterSecond);
            case "request" -> afterSecond.isEmpty() ? usage() : audit.request(words.get(1), afterSecond);
            default -> usage();
        };
    }

    private ExitCode explain(List<String> words) {
        List<Path> files = words.stream().skip(1).map(Path::of).toList();
        try {
            List<StoryLine> story = ExplainCommand.explain(words.get(0), files);
            for (StoryLine line : story) {
                if (output.isJson()) {
                    output.json(line);
                } else {
                    output.line(line.text());
                }
            }
            if (!story.isEmpty()) {
                return ExitCode.DONE;
            }
        } catch (IOException | UncheckedIOException failure) {
            output.error("could not read the logs: " + failure);
            return ExitCode.USAGE;
        }
        output.error("no line of request " + words.get(0) + " stands in the files");
        return ExitCode.REFUSED;
    }

    private ExitCode usage() {
        output.error("no such command");
        output.line(USAGE);
        return ExitCode.USAGE;
    }
}
