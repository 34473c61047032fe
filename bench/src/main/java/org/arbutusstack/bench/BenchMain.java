package org.arbutusstack.bench;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import joptsimple.OptionException;
import org.arbutusstack.bench.report.ReportFiles;

/** Runs the measuring tool. */
public final class BenchMain {

    private static final int USAGE_EXIT_CODE = 64;

    private static final ReportFiles FILES = new ReportFiles(Path.of("docs/measurements"));

    private BenchMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command and its flags
     */
    public static void main(String[] arguments) {
        Optional<BenchCommand> command = arguments.length == 0 ? Optional.empty() : BenchCommand.named(arguments[0]);
        if (command.isEmpty()) {
            System.err.println("usage: bench " + BenchCommand.names() + " [flags]; writes into docs/measurements");
            System.exit(USAGE_EXIT_CODE);
            return;
        }
        try {
            command.get().run(Arrays.copyOfRange(arguments, 1, arguments.length), FILES);
        } catch (OptionException wrong) {
            System.err.println("bench " + arguments[0] + ": " + wrong.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
        System.exit(0);
    }
}
