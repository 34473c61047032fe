package org.arbutusstack.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Holds what a process had used at one instant.
 *
 * @param atNanos the instant of {@link System#nanoTime()}
 * @param cpuNanos the processor time that it has used, in nanoseconds
 * @param residentKb its resident memory, in kibibytes
 * @param peakResidentKb the most resident memory that it ever had, in kibibytes
 * @param readBytes the bytes that it read from files and sockets
 * @param writtenBytes the bytes that it wrote to files and sockets
 */
public record ProcessSample(
        long atNanos, long cpuNanos, long residentKb, long peakResidentKb, long readBytes, long writtenBytes) {

    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    private static final long NANOS_PER_TICK = 10_000_000;

    private static final Path PROC = Path.of("/proc");

    /**
     * Reads a sample.
     *
     * @param pid the process
     * @return the sample
     * @throws UncheckedIOException if there is no such process
     */
    public static ProcessSample of(long pid) {
        Path process = PROC.resolve(Long.toString(pid));
        try {
            List<String> status = Files.readAllLines(process.resolve("status"));
            List<String> io = Files.readAllLines(process.resolve("io"));
            return new ProcessSample(
                    System.nanoTime(),
                    cpuNanosOf(process),
                    field(status, "VmRSS:"),
                    field(status, "VmHWM:"),
                    field(io, "rchar:"),
                    field(io, "wchar:"));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not read " + process, failure);
        }
    }

    /** Adds user and system time, which the system counts in hundredths of a second for ended threads too. */
    private static long cpuNanosOf(Path process) throws IOException {
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) * NANOS_PER_TICK;
    }

    private static long field(List<String> lines, String name) {
        String line =
                lines.stream().filter(each -> each.startsWith(name)).findFirst().orElseThrow();
        return Long.parseLong(line.substring(name.length()).replace("kB", "").trim());
    }
}
