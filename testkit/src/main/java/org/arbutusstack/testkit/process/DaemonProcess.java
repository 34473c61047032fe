package org.arbutusstack.testkit.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Runs one daemon as a child process of a test and can kill, freeze, thaw and end it.
 *
 * <p>To be used by one thread.
 */
public final class DaemonProcess {

    /** The system property that names a launcher to run in place of the daemon on the class path. */
    public static final String LAUNCHER_PROPERTY = "arbutus.daemon.launcher";

    private static final String MAIN = "org.arbutusstack.daemon.ArbutusDaemon";

    /** The key that the links of the processes prove. */
    public static final String LINK_KEY = "a key for tests on loopback";

    private static final long KIB_PER_MIB = 1_024;

    private final String name;

    private final Map<String, String> flags;

    private final File log;

    private Process process;

    DaemonProcess(String name, Map<String, String> flags, File log) {
        this.name = name;
        this.flags = new TreeMap<>(flags);
        this.log = log;
    }

    /** Starts the process, again with the same flags if it ran before. */
    public void start() {
        List<String> command = program();
        flags.forEach((flag, value) -> {
            command.add("--" + flag);
            if (!value.isEmpty()) {
                command.add(value);
            }
        });
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("ARBUTUS_LINK_KEY", LINK_KEY);
        try {
            process = builder.start();
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not start " + name, failure);
        }
    }

    private static List<String> program() {
        String launcher = System.getProperty(LAUNCHER_PROPERTY);
        if (launcher != null) {
            return new ArrayList<>(List.of(launcher));
        }
        return new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx48m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                MAIN));
    }

    /**
     * Names the host of the process.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Reads a flag that the process was started with.
     *
     * @param flag the flag without dashes
     * @return its value
     */
    public String flag(String flag) {
        return flags.get(flag);
    }

    /**
     * Changes a flag for the next start.
     *
     * @param flag the flag without dashes
     * @param value its value
     */
    public void flag(String flag, String value) {
        flags.put(flag, value);
    }

    /**
     * Reads the port that a flag names.
     *
     * @param flag the flag without dashes
     * @return the port
     */
    public int port(String flag) {
        return Integer.parseInt(flags.get(flag));
    }

    /**
     * Tells where the process writes its log.
     *
     * @return the file
     */
    public File log() {
        return log;
    }

    /** Ends the process at once, without a chance to finish anything. */
    public void kill() {
        process.destroyForcibly();
        await(10);
    }

    /** Asks the process to stop gracefully and does not wait. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits for the end of the process.
     *
     * @param seconds how long to wait at the most
     * @return whether it ended
     */
    public boolean await(long seconds) {
        try {
            return process.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Tells the id of the process.
     *
     * @return the id that the system gave it
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Tells how the process ended.
     *
     * @return its exit code
     */
    public int exitCode() {
        return process.exitValue();
    }

    /** Freezes the process where it stands. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw() {
        signal("-CONT");
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not signal " + name, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Tells the processor time that the process has spent since its start.
     *
     * @return the time in milliseconds
     */
    public long processorMillis() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    }

    /**
     * Tells the largest resident size that the process has had.
     *
     * @return the size in mebibytes, zero if the system does not tell it
     */
    public long peakResidentMb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / KIB_PER_MIB;
                }
            }
            return 0;
        } catch (IOException unknown) {
            return 0;
        }
    }

    /**
     * Tells whether the process runs.
     *
     * @return whether it does
     */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }
}
