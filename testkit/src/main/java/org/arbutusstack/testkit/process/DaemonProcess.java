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
 * A daemon that runs as a child process of a test, and can be killed, frozen, thawed and terminated.
 *
 * <p>Not thread-safe.
 */
public final class DaemonProcess {

    /** System property that names a launcher to run instead of the daemon on the class path. */
    public static final String LAUNCHER_PROPERTY = "arbutus.daemon.launcher";

    private static final String MAIN = "org.arbutusstack.daemon.ArbutusDaemon";

    /** The link key with which all processes authenticate their links. */
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

    /** Start or restart the process with its current flags. */
    public void start() {
        List<String> command = programCommand();
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

    private static List<String> programCommand() {
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
     * Return the name of the host that the process runs as.
     *
     * @return the name of the host
     */
    public String name() {
        return name;
    }

    /**
     * Return the value of a flag.
     *
     * @param flag the name of the flag, without dashes
     * @return the value
     */
    public String flag(String flag) {
        return flags.get(flag);
    }

    /**
     * Change a flag for the next start.
     *
     * @param flag the name of the flag, without dashes
     * @param value the new value
     */
    public void flag(String flag, String value) {
        flags.put(flag, value);
    }

    /**
     * Return the value of a flag that contains a port.
     *
     * @param flag the name of the flag, without dashes
     * @return the port
     */
    public int port(String flag) {
        return Integer.parseInt(flags.get(flag));
    }

    /**
     * Return the file that the process writes its log to.
     *
     * @return the file
     */
    public File log() {
        return log;
    }

    /** Kill the process, without a graceful stop, and wait for its end. */
    public void kill() {
        process.destroyForcibly();
        await(10);
    }

    /** Request a graceful stop of the process, without waiting for its end. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Wait for the end of the process.
     *
     * @param seconds the maximum time to wait, in seconds
     * @return whether the process ended in time
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
     * Return the id of the process.
     *
     * @return the process id of the operating system
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Return the exit code of the process, which must have ended.
     *
     * @return the exit code
     */
    public int exitCode() {
        return process.exitValue();
    }

    /** Suspend the process with SIGSTOP. */
    public void freeze() {
        signal("-STOP");
    }

    /** Resume a suspended process with SIGCONT. */
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
     * Return the CPU time that the process has used since its start.
     *
     * @return the CPU time, in milliseconds
     */
    public long processorMillis() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    }

    /**
     * Return the peak of the resident memory of the process.
     *
     * @return the peak, in mebibytes; zero if it is unknown
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
     * Return whether the process is running.
     *
     * @return whether it was started and has not ended
     */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }
}
