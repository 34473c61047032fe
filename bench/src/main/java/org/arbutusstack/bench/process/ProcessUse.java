package org.arbutusstack.bench.process;

/**
 * Resource use of a process over a period of time.
 *
 * @param cpuPercentOfCore the CPU time, in percent of one core
 * @param residentMb the resident memory at the end, in mebibytes
 * @param peakResidentMb the peak of the resident memory since the start of the process, in mebibytes
 * @param readBytesPerSecond the bytes read from sockets and files per second
 * @param writtenBytesPerSecond the bytes written to sockets and files per second
 */
public record ProcessUse(
        double cpuPercentOfCore,
        double residentMb,
        double peakResidentMb,
        double readBytesPerSecond,
        double writtenBytesPerSecond) {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double KB_PER_MB = 1_024;

    private static final double PERCENT = 100;

    /**
     * Compute the use between two samples.
     *
     * @param first the earlier sample
     * @param last the later sample
     * @return the use
     */
    public static ProcessUse between(ProcessSample first, ProcessSample last) {
        double seconds = (last.atNanos() - first.atNanos()) / NANOS_PER_SECOND;
        return new ProcessUse(
                PERCENT * (last.cpuNanos() - first.cpuNanos()) / NANOS_PER_SECOND / seconds,
                last.residentKb() / KB_PER_MB,
                last.peakResidentKb() / KB_PER_MB,
                (last.readBytes() - first.readBytes()) / seconds,
                (last.writtenBytes() - first.writtenBytes()) / seconds);
    }

    /**
     * Return the sum of the read and written bytes.
     *
     * @return the bytes per second
     */
    public double bytesPerSecond() {
        return readBytesPerSecond + writtenBytesPerSecond;
    }
}
