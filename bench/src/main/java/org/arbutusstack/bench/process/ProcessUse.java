package org.arbutusstack.bench.process;

/**
 * Holds what a process used over a window of time.
 *
 * @param cpuPercentOfCore the processor time, in percent of one core
 * @param residentMb the resident memory at the end, in mebibytes
 * @param peakResidentMb the most resident memory since the start of the process, in mebibytes
 * @param readBytesPerSecond the bytes read from sockets and files in a second
 * @param writtenBytesPerSecond the bytes written to sockets and files in a second
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
     * Computes the use between two samples.
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
     * Adds what was read and written.
     *
     * @return the bytes in a second
     */
    public double bytesPerSecond() {
        return readBytesPerSecond + writtenBytesPerSecond;
    }
}
