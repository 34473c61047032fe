package org.arbutusstack.gateway.config;

import java.util.List;
import org.arbutusstack.kernel.Assert;

/**
 * Maps requests of a host and path prefix to services.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the prefix of the paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time until the final answer
 * @param targetMillis the time within which an answer, or its first event, is in time
 * @param targetGapMillis the longest pause between events for which a stream is in time; zero if it is no stream
 * @param priority the rank among routes, zero first
 * @param backends the services, with the share of each
 * @param mostAttempts the runners that one request may be sent to
 * @param sticky whether requests share parts of their prompts
 * @param resumable whether a stream may go on at another runner
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetMillis,
        long targetGapMillis,
        int priority,
        List<WeightedService> backends,
        int mostAttempts,
        boolean sticky,
        boolean resumable) {

    private static final long LEAST_PATIENCE_MILLIS = 2_000;

    /** Targets above a second are of work that nobody watches. */
    private static final long LATE_TARGET_MILLIS = 1_000;

    /** Checks the route. */
    public Route {
        Assert.hasText(name, "name");
        Assert.hasText(host, "host");
        Assert.hasText(pathPrefix, "pathPrefix");
        Assert.notNull(kind, "kind");
        Assert.atLeast(timeoutMillis, 1, "timeoutMillis");
        backends = List.copyOf(Assert.notEmpty(backends, "backends"));
        Assert.atLeast(mostAttempts, 1, "mostAttempts");
    }

    /**
     * Tells whether a request of this route may be sent again after it may have run.
     *
     * @return whether it may
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Tells how long a caller waits for the next event before it leaves.
     *
     * @return the time in milliseconds: two seconds, four targets or eight pauses, whichever is longest
     */
    public long callerTimeoutMillis() {
        return Math.max(LEAST_PATIENCE_MILLIS, Math.max(4 * targetMillis, 8 * targetGapMillis));
    }

    /**
     * Tells how urgent the route's requests are among those of an engine: by rank, then by how soon they are due.
     *
     * @return the urgency, zero first
     */
    public int urgency() {
        return 2 * priority + (targetMillis > LATE_TARGET_MILLIS ? 1 : 0);
    }

    /**
     * Chooses the service for one request.
     *
     * @param draw a number from zero to less than one
     * @return the service's name
     */
    public String serviceFor(double draw) {
        double sum = backends.stream().mapToDouble(WeightedService::weight).sum();
        double left = draw * sum;
        for (WeightedService backend : backends) {
            left -= backend.weight();
            if (left < 0) {
                return backend.service();
            }
        }
        return backends.get(backends.size() - 1).service();
    }

    /**
     * Names a service and its share of a route's requests.
     *
     * @param service the service
     * @param weight the share, in no unit
     */
    public record WeightedService(String service, double weight) {}
}
