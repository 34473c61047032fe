package org.arbutusstack.gateway.agent;

import java.util.Map;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.collect.RecentlyUsedMap;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;

/**
 * Allocator of the permits to send requests to backend servers that limit them: one bucket for each server, from which
 * all entries take, so that the limit binds them together however unequal their traffic is.
 *
 * <p>A permit that an entry does not use is lost, which keeps the server below its limit. Does no I/O; thread-safe.
 */
final class PermitAllocator {

    /** Limit on the servers with a bucket; the one that was asked for least recently is evicted first. */
    private static final int MAX_SERVERS = 1_024;

    /** Share of the limit that is given out, so that permits used late do not exceed it. */
    private static final double USABLE_SHARE = 0.95;

    /** Time over which unused permits accumulate, in milliseconds; at least one permit is always kept. */
    private static final double MAX_ACCUMULATION_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock clock;

    private final Map<String, Bucket> buckets = new RecentlyUsedMap<>(MAX_SERVERS);

    PermitAllocator(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
    }

    /**
     * Grant a permit, or return the time after which one may be free. The limit is the one that the server named last,
     * to whichever entry: the others hear of a change with their next answer.
     */
    synchronized PermitFrame request(PermitRequestFrame request) {
        long nowNanos = clock.nowNanos();
        long namedAtNanos = clock.deadlineNanos(-request.namedAgoMillis());
        Bucket first = new Bucket(1, nowNanos, request.requestsPerSecond(), namedAtNanos);
        Bucket before = buckets.getOrDefault(request.server(), first);
        boolean isLatest = namedAtNanos - before.namedAtNanos() >= 0;
        double perSecond = isLatest ? request.requestsPerSecond() : before.requestsPerSecond();
        double perMilli = perSecond * USABLE_SHARE / MILLIS_PER_SECOND;
        double elapsedMillis = (nowNanos - before.updatedAtNanos()) / (double) Clock.NANOS_PER_MILLI;
        double capacity = Math.max(1, perMilli * MAX_ACCUMULATION_MILLIS);
        double permits = Math.min(capacity, before.permits() + elapsedMillis * perMilli);
        boolean granted = permits >= 1;
        long latestNamedNanos = isLatest ? namedAtNanos : before.namedAtNanos();
        buckets.put(
                request.server(), new Bucket(granted ? permits - 1 : permits, nowNanos, perSecond, latestNamedNanos));
        long waitMillis = granted ? 0 : Math.max(1, (long) Math.ceil((1 - permits) / perMilli));
        return new PermitFrame(request.server(), waitMillis);
    }

    /**
     * Permits of one server.
     *
     * @param permits the permits that can be granted, of which a fraction is not complete yet
     * @param updatedAtNanos when they were counted
     * @param requestsPerSecond the limit that the server named last
     * @param namedAtNanos when it did
     */
    private record Bucket(double permits, long updatedAtNanos, double requestsPerSecond, long namedAtNanos) {}
}
