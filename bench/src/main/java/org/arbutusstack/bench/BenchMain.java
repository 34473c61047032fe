package org.arbutusstack.bench;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import joptsimple.OptionException;
import org.arbutusstack.bench.report.ReportFiles;

/** Entry point of the bench tool. */
public final class BenchMain {

    private static final int USAGE_EXIT_CODE = 64;

    private static final ReportFiles FILES = new ReportFiles(Path.of("docs/measurements"));

    private BenchMain() {}

    /**
     * Run the command that the first argument names.
     *
     * @param arguments the name of the command, then its flags
     */
    public static void main(String[] arguments) {
        Optional<BenchCommand> command = arguments.length == 0 ? Optional.empty() : BenchCommand.forName(arguments[0]);
        if (command.isEmpty()) {
            System.err.println("usage: bench " + BenchCommand.names() + " [flags]; writes into docs/measurements");
            System.exit(USAGE_EXIT_CODE);
            return;
        }
        try {
            command.get().run(Arrays.copyOfRange(arguments, 1, arguments.length), FILES);
        } catch (OptionException invalidOptions) {
            System.err.println("bench " + arguments[0] + ": " + invalidOptions.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
        System.exit(0);
    }
}
