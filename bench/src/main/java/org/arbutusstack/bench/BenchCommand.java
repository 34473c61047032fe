package org.arbutusstack.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.arbutusstack.bench.capacity.CapacityCommand;
import org.arbutusstack.bench.deployment.DeploymentCommand;
import org.arbutusstack.bench.load.LoadCommand;
import org.arbutusstack.bench.policy.PolicyCommand;
import org.arbutusstack.bench.report.ReportFiles;
import org.arbutusstack.bench.slopes.SlopesCommand;

/** The commands of the bench tool. */
enum BenchCommand {
    /** Computes the resource use of each role at the planned size. */
    CAPACITY {
        @Override
        void run(String[] arguments, ReportFiles files) {
            new CapacityCommand().run(files);
        }
    },
    /** Runs a deployment under load and faults. */
    DEPLOYMENT {
        @Override
        void run(String[] arguments, ReportFiles files) {
            new DeploymentCommand().run(arguments, files);
        }
    },
    /** Sends load to entries that already run. */
    LOAD {
        @Override
        void run(String[] arguments, ReportFiles files) {
            new LoadCommand().run(arguments, files);
        }
    },
    /** Compares placement and routing policies in virtual time. */
    POLICY {
        @Override
        void run(String[] arguments, ReportFiles files) {
            new PolicyCommand().run(arguments, files);
        }
    },
    /** Measures how resource use grows with the size of a deployment. */
    SLOPES {
        @Override
        void run(String[] arguments, ReportFiles files) {
            new SlopesCommand().run(arguments, files);
        }
    };

    static Optional<BenchCommand> forName(String name) {
        return Arrays.stream(values())
                .filter(command -> command.lowerCaseName().equals(name))
                .findFirst();
    }

    static List<String> names() {
        return Arrays.stream(values()).map(BenchCommand::lowerCaseName).toList();
    }

    private String lowerCaseName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Run the command with its flags. */
    abstract void run(String[] arguments, ReportFiles files);
}
