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
import org.arbutusstack.ctl.explain.TimelineEntry;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.setting.Settings;
import org.arbutusstack.kernel.setting.SettingsParser;
import org.arbutusstack.kernel.setting.SettingsResult;

/**
 * Main class of the operators' tool.
 *
 * @see ExitCode
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
            "  config check FILE         checks a configuration, and compares it with that of --against FILE",
            "exit codes: 0 done, 1 refused or fault found, 2 not certain, 3 not reachable, 64 wrong usage");

    private static final String JSON_FORMAT = "json";

    private static final Set<String> FORMATS = Set.of("text", JSON_FORMAT);

    private final Output output;

    private final TicketCommands tickets;

    private final StatusCommands status;

    private final AuditCommands audit;

    private final ConfigCommands config;

    private ArbutusControl(EntryClient entries, Output output, Settings settings) {
        this.output = output;
        this.tickets = new TicketCommands(entries, output, settings.number(ControlSettings.WAIT));
        this.status = new StatusCommands(entries, output);
        this.audit = new AuditCommands(entries, output, hostsOf(settings));
        this.config = new ConfigCommands(output, settings.text(ControlSettings.AGAINST));
    }

    private static Set<String> hostsOf(Settings settings) {
        return Arrays.stream(settings.text(ControlSettings.HOSTS).split(","))
                .map(String::trim)
                .filter(host -> !host.isEmpty())
                .collect(Collectors.toSet());
    }

    /**
     * Run a command and exit with its exit code.
     *
     * @param arguments the flags, followed by the command and its arguments
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
        String format = settings.text(ControlSettings.OUTPUT);
        if (!FORMATS.contains(format)) {
            err.println("arbutusctl: --output (" + ControlSettings.OUTPUT.variable() + "): value '" + format
                    + "', permitted: text or json");
            return ExitCode.USAGE;
        }
        Output output = new Output(out, err, settings.flag(ControlSettings.JSON) || JSON_FORMAT.equals(format));
        try (UndertowHttpClient client = new UndertowHttpClient("control", 1)) {
            return new ArbutusControl(new EntryClient(client, settings, err), output, settings).run(valid.arguments());
        } catch (IllegalArgumentException mistake) {
            output.printError(mistake.getMessage());
            return ExitCode.USAGE;
        }
    }

    private ExitCode run(List<String> arguments) {
        String command = arguments.isEmpty() ? "" : arguments.get(0);
        List<String> rest = arguments.isEmpty() ? arguments : arguments.subList(1, arguments.size());
        return switch (command) {
            case "ticket" -> runTicketCommand(rest);
            case "audit" -> runAuditCommand(rest);
            case "status" -> rest.isEmpty() ? status.status() : printUsage();
            case "explain" -> rest.size() > 1 ? runExplainCommand(rest) : printUsage();
            case "config" ->
                rest.size() == 2 && rest.get(0).equals("check") ? config.check(Path.of(rest.get(1))) : printUsage();
            case "dump" -> rest.size() == 1 ? status.dump(rest.get(0)) : printUsage();
            default -> printUsage();
        };
    }

    private ExitCode runTicketCommand(List<String> arguments) {
        if (arguments.equals(List.of("list"))) {
            return tickets.list();
        }
        if (arguments.size() != 2) {
            return printUsage();
        }
        return switch (arguments.get(0)) {
            case "submit" -> tickets.submit(Path.of(arguments.get(1)));
            case "show" -> tickets.show(arguments.get(1));
            default -> printUsage();
        };
    }

    private ExitCode runAuditCommand(List<String> arguments) {
        if (arguments.size() < 2) {
            return printUsage();
        }
        List<Path> afterFirst = arguments.stream().skip(1).map(Path::of).toList();
        List<Path> afterSecond = arguments.stream().skip(2).map(Path::of).toList();
        return switch (arguments.get(0)) {
            case "verify" -> audit.verify(afterFirst);
            case "change" -> audit.change(arguments.get(1), afterSecond);
            case "request" -> afterSecond.isEmpty() ? printUsage() : audit.request(arguments.get(1), afterSecond);
            default -> printUsage();
        };
    }

    private ExitCode runExplainCommand(List<String> arguments) {
        List<Path> files = arguments.stream().skip(1).map(Path::of).toList();
        try {
            List<TimelineEntry> timeline = ExplainCommand.explain(arguments.get(0), files);
            for (TimelineEntry entry : timeline) {
                if (output.isJson()) {
                    output.printJson(entry);
                } else {
                    output.printLine(entry.text());
                }
            }
            if (!timeline.isEmpty()) {
                return ExitCode.DONE;
            }
        } catch (IOException | UncheckedIOException failure) {
            output.printError("could not read the logs: " + failure);
            return ExitCode.USAGE;
        }
        output.printError("no line of request " + arguments.get(0) + " stands in the files");
        return ExitCode.REFUSED;
    }

    private ExitCode printUsage() {
        output.printError("no such command");
        output.printLine(USAGE);
        return ExitCode.USAGE;
    }
}
