package org.arbutusstack.gateway.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Memory of the versions at which recent streams have begun, by the request that brought the first event. Does no I/O;
 * thread-safe.
 */
public final class StreamOriginMemory {

    /** How long a stream is remembered: callers wait less for a whole stream, their further attempts included. */
    static final long RETENTION_MILLIS = 30_000;

    /** Bounds the memory to a few megabytes; the oldest streams are forgotten first. */
    private static final int MAX_STREAMS = 20_000;

    private static final int MAX_TEXT_CHARACTERS = 200;

    private final Clock clock;

    /** In the order in which the streams are forgotten. */
    private final Map<String, Origin> origins = new LinkedHashMap<>();

    /**
     * Create an empty memory.
     *
     * @param clock the clock of the process
     */
    public StreamOriginMemory(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Remember a stream; one whose identifier or version is too long is not remembered.
     *
     * @param requestId the identifier of the request that brought the first event
     * @param version the version of the software
     */
    public synchronized void record(String requestId, String version) {
        if (requestId.length() > MAX_TEXT_CHARACTERS || version.length() > MAX_TEXT_CHARACTERS) {
            return;
        }
        origins.remove(requestId);
        origins.put(requestId, new Origin(version, clock.deadlineNanos(RETENTION_MILLIS)));
        Iterator<Origin> oldest = origins.values().iterator();
        while (oldest.hasNext()) {
            if (!clock.isPast(oldest.next().untilNanos()) && origins.size() <= MAX_STREAMS) {
                break;
            }
            oldest.remove();
        }
    }

    /**
     * Find a stream.
     *
     * @param requestId the identifier of the request that brought the first event
     * @return the version of the software; empty if the stream is not known
     */
    public synchronized Optional<String> find(String requestId) {
        return Optional.ofNullable(origins.get(requestId))
                .filter(origin -> !clock.isPast(origin.untilNanos()))
                .map(Origin::version);
    }

    /** A stream. */
    private record Origin(String version, long untilNanos) {}
}
