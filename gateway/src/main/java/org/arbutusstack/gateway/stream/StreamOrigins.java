package org.arbutusstack.gateway.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.arbutusstack.gateway.allotment.KeeperLinks;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.StreamOriginFrame;
import org.arbutusstack.wire.frame.StreamOriginRequestFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The versions at which streams have begun, shared by all entries: a caller takes its stream up at any entry, mostly
 * since the one that it had is gone.
 *
 * <p>An entry tells two sides of each stream that may be taken up, chosen by the request's identifier. The entry where
 * a stream is taken up asks the first three: the sides of runners come and go meanwhile. Confined to the entry's event
 * loop.
 */
public final class StreamOrigins {

    private static final Logger logger = LoggerFactory.getLogger(StreamOrigins.class);

    private static final int KEEPERS = 2;

    private static final int ASKED_SIDES = 3;

    /** Time for links to open and for an answer over each of them. */
    private static final long LOOKUP_MILLIS = 500;

    private final KeeperLinks links;

    private final DoubleSupplier linkedPart;

    private final VersionHistory history;

    private final StreamOriginMemory memory;

    private final Clock clock;

    private final Map<String, Lookup> lookups = new HashMap<>();

    /**
     * Create the origins as known to an entry.
     *
     * @param links the links to sides
     * @param linkedPart the part of the sides to which there are links, from 0 to 1
     * @param runners the known runners
     * @param clock the clock of the process
     */
    public StreamOrigins(KeeperLinks links, DoubleSupplier linkedPart, RunnerTable runners, Clock clock) {
        this.links = Assert.notNull(links, "links");
        this.linkedPart = Assert.notNull(linkedPart, "linkedPart");
        this.history = new VersionHistory(runners, clock);
        this.memory = new StreamOriginMemory(clock);
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Record the first event of a stream, or of a part of it.
     *
     * @param requestId the identifier of the request that brought the first event of the stream
     * @param version the version of the software of the runner
     */
    public void begun(String requestId, String version) {
        memory.record(requestId, version);
        StreamOriginFrame frame = new StreamOriginFrame(requestId, Optional.of(version));
        sidesFor(requestId, KEEPERS).forEach(host -> links.send(host, frame));
    }

    /** Return the hosts of the linked sides that come first in rank for a request. */
    private List<String> sidesFor(String requestId, int count) {
        List<String> hosts = new ArrayList<>();
        for (int rank = 0; rank < count; rank++) {
            links.firstInRank(requestId, host -> !hosts.contains(host)).ifPresent(hosts::add);
        }
        return hosts;
    }

    /**
     * Find out at which version a stream has begun that a caller takes up. While the result is pending, the method has
     * to be called again.
     *
     * @param service the name of the service
     * @param requestId the identifier of the request that brought the first event; empty if the caller does not name it
     * @return what is known
     */
    public StreamOrigin find(String service, String requestId) {
        Optional<String> version = memory.find(requestId);
        if (version.isPresent()) {
            return new StreamOrigin.Known(version.get());
        }
        if (!requestId.isEmpty() && isPending(requestId)) {
            return new StreamOrigin.Pending();
        }
        if (history.hasOneVersion(service)) {
            return new StreamOrigin.Any();
        }
        logger.info("event=stream-origin-unknown service={} request={}", service, requestId);
        return new StreamOrigin.Unknown();
    }

    /** Ask the sides, and return whether one of them may still know the stream. */
    private boolean isPending(String requestId) {
        Lookup lookup = lookups.computeIfAbsent(requestId, id -> new Lookup(id, clock.deadlineNanos(LOOKUP_MILLIS)));
        lookup.ask();
        if (lookup.hasFailed()) {
            lookups.remove(requestId);
            return false;
        }
        return true;
    }

    /**
     * Handle the answer of a side.
     *
     * @param host the host of the side
     * @param answer the answer
     */
    public void received(String host, StreamOriginFrame answer) {
        Lookup lookup = lookups.get(answer.requestId());
        if (lookup == null) {
            return;
        }
        if (answer.version().isPresent()) {
            memory.record(answer.requestId(), answer.version().get());
            lookups.remove(answer.requestId());
        } else {
            lookup.unanswered.remove(host);
        }
    }

    /** Record the versions that serve, and end the lookups of requests that have ended. */
    public void tick() {
        history.observe();
        lookups.values().removeIf(Lookup::isAbandoned);
    }

    /** Question to the sides about one stream. */
    private final class Lookup {

        private final String requestId;

        private final long deadlineNanos;

        private final Set<String> asked = new HashSet<>();

        private final Set<String> unanswered = new HashSet<>();

        Lookup(String requestId, long deadlineNanos) {
            this.requestId = requestId;
            this.deadlineNanos = deadlineNanos;
        }

        /** Ask the sides that have not been asked; those that come first change while links open. */
        void ask() {
            for (String host : sidesFor(requestId, ASKED_SIDES)) {
                if (asked.add(host)) {
                    unanswered.add(host);
                    links.send(host, new StreamOriginRequestFrame(requestId));
                }
            }
        }

        /** Return whether no side knows the stream, or the time for their answers is over. */
        boolean hasFailed() {
            boolean isComplete = !asked.isEmpty() && unanswered.isEmpty() && linkedPart.getAsDouble() >= 1;
            return isComplete || clock.isPast(deadlineNanos);
        }

        boolean isAbandoned() {
            return clock.isPast(deadlineNanos + LOOKUP_MILLIS * Clock.NANOS_PER_MILLI);
        }
    }
}
