package org.arbutusstack.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Resource use of a process since its start, read at one instant.
 *
 * @param atNanos the time of the sample, as of {@link System#nanoTime()}
 * @param cpuNanos the CPU time, in nanoseconds
 * @param residentKb the resident memory, in kibibytes
 * @param peakResidentKb the peak of the resident memory, in kibibytes
 * @param readBytes the number of bytes read from files and sockets
 * @param writtenBytes the number of bytes written to files and sockets
 */
public record ProcessSample(
        long atNanos, long cpuNanos, long residentKb, long peakResidentKb, long readBytes, long writtenBytes) {

    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    private static final long NANOS_PER_TICK = 10_000_000;

    private static final Path PROC = Path.of("/proc");

    /**
     * Read a sample of a running process.
     *
     * @param pid the id of the process
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
                    readCpuNanos(process),
                    fieldValue(status, "VmRSS:"),
                    fieldValue(status, "VmHWM:"),
                    fieldValue(io, "rchar:"),
                    fieldValue(io, "wchar:"));
        } catch (IOException failure) {
            throw new UncheckedIOException("Could not read " + process, failure);
        }
    }

    /**
     * Return the sum of user and system time. The kernel counts both in hundredths of a second and includes ended
     * threads.
     */
    private static long readCpuNanos(Path process) throws IOException {
        String stat = Files.readString(process.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) * NANOS_PER_TICK;
    }

    private static long fieldValue(List<String> lines, String name) {
        String line = lines.stream()
                .filter(candidate -> candidate.startsWith(name))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(line.substring(name.length()).replace("kB", "").trim());
    }
}
