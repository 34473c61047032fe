package org.arbutusstack.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads how busy the machine is. Stateless; safe for use by any thread. */
public final class MachineLoad {

    private MachineLoad() {}

    /**
     * Reads the load of the last minute.
     *
     * @return the mean number of threads that ran or waited for a core
     */
    public static double lastMinute() {
        try {
            String text = Files.readString(Path.of("/proc/loadavg"));
            return Double.parseDouble(text.substring(0, text.indexOf(' ')));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not read the machine's load", failure);
        }
    }
}
