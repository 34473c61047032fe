package org.arbutusstack.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.platform.ConfigCheck;
import org.arbutusstack.platform.ConfigDifference;
import org.arbutusstack.platform.ConfigFinding;
import org.arbutusstack.platform.PlatformException;

/** Commands on configuration files in the platform's format; they call no entry. Not thread-safe. */
final class ConfigCommands {

    private final Output output;

    private final String inForceFile;

    ConfigCommands(Output output, String inForceFile) {
        this.output = Assert.notNull(output, "output");
        this.inForceFile = Assert.notNull(inForceFile, "inForceFile");
    }

    /** Print the findings; {@link ExitCode#REFUSED} if there is an error among them, {@link ExitCode#DONE} if not. */
    ExitCode check(Path file) {
        List<ConfigFinding> findings = new ArrayList<>();
        try {
            byte[] config = Files.readAllBytes(file);
            findings.addAll(ConfigCheck.check(config));
            if (!inForceFile.isEmpty()) {
                findings.addAll(ConfigDifference.of(config, Files.readAllBytes(Path.of(inForceFile))));
            }
        } catch (IOException failure) {
            output.printError("could not read a file: " + failure);
            return ExitCode.USAGE;
        } catch (PlatformException malformed) {
            findings.add(new ConfigFinding(
                    ConfigFinding.Severity.ERROR, "document", "it or that in force is no JSON object"));
        }
        if (output.isJson()) {
            output.printJson(findings);
        } else {
            print(findings);
        }
        return findings.stream().anyMatch(finding -> finding.severity() == ConfigFinding.Severity.ERROR)
                ? ExitCode.REFUSED
                : ExitCode.DONE;
    }

    private void print(List<ConfigFinding> findings) {
        for (ConfigFinding finding : findings) {
            output.printLine(finding.severity().name().toLowerCase(Locale.ROOT) + ": " + finding.location() + ": "
                    + finding.message());
        }
        output.printLine(findings.isEmpty() ? "nothing found" : findings.size() + " found");
    }
}
