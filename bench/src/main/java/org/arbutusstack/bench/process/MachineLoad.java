package org.arbutusstack.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Access to the load average of the machine. Stateless and thread-safe. */
public final class MachineLoad {

    private MachineLoad() {}

    /**
     * Return the load average of the last minute.
     *
     * @return the mean number of threads that ran or waited for a core
     */
    public static double lastMinute() {
        try {
            String text = Files.readString(Path.of("/proc/loadavg"));
            return Double.parseDouble(text.substring(0, text.indexOf(' ')));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not read /proc/loadavg", failure);
        }
    }
}
