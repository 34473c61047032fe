package org.arbutusstack.gateway.config;

import java.util.List;
import org.arbutusstack.kernel.Assert;

/**
 * Mapping of requests for a host and path prefix to services.
 *
 * @param name the name of the route
 * @param host the host that requests name
 * @param pathPrefix the path prefix; starts and ends with a slash
 * @param kind whether a request may be repeated and whether its answer is a stream
 * @param timeoutMillis the maximum time until the complete answer, in milliseconds
 * @param targetMillis the target time for the answer or its first event, in milliseconds
 * @param targetGapMillis the target for the gap between two events, in milliseconds; zero if the answer is no stream
 * @param priority the priority among routes; zero is the highest
 * @param backends the weighted services
 * @param maxAttempts the maximum number of attempts that may have run one request
 * @param sticky whether requests share prompt prefixes
 * @param resumable whether a stream may be resumed at another runner
 * @param isPublic whether callers need no key, even if the configuration has teams
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
        int maxAttempts,
        boolean sticky,
        boolean resumable,
        boolean isPublic) {

    private static final long MIN_CALLER_TIMEOUT_MILLIS = 2_000;

    /** Longest target of an interactive route: no user watches the answers of slower ones. */
    private static final long INTERACTIVE_TARGET_MILLIS = 1_000;

    /** Shortest target of a deferrable route: bursts and loads of models end well before it. */
    private static final long DEFERRABLE_TARGET_MILLIS = 5_000;

    /** Check the route and copy the list. */
    public Route {
        Assert.hasText(name, "name");
        Assert.hasText(host, "host");
        Assert.hasText(pathPrefix, "pathPrefix");
        Assert.notNull(kind, "kind");
        Assert.atLeast(timeoutMillis, 1, "timeoutMillis");
        backends = List.copyOf(Assert.notEmpty(backends, "backends"));
        Assert.atLeast(maxAttempts, 1, "maxAttempts");
    }

    /**
     * Return whether a request of this route may be repeated after it may have run.
     *
     * @return whether it may be sent again
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Return how long a caller waits for the next event before it disconnects.
     *
     * @return the time in milliseconds: two seconds, four targets or eight target gaps, whichever is longest
     */
    public long callerTimeoutMillis() {
        return Math.max(MIN_CALLER_TIMEOUT_MILLIS, Math.max(4 * targetMillis, 8 * targetGapMillis));
    }

    /**
     * Return the urgency of the route's requests in an engine: by priority, then interactive before other work.
     *
     * @return the urgency; zero is the most urgent
     */
    public int urgency() {
        return 2 * priority + (isInteractive() ? 0 : 1);
    }

    /**
     * Return whether a user may watch the answers of the route's requests.
     *
     * @return whether their target is short enough
     */
    public boolean isInteractive() {
        return targetMillis <= INTERACTIVE_TARGET_MILLIS;
    }

    /**
     * Return whether requests of this route can wait while others go first.
     *
     * @return whether the target leaves time for it
     */
    public boolean isDeferrable() {
        return targetMillis >= DEFERRABLE_TARGET_MILLIS;
    }

    /**
     * Select the service for one request by weight.
     *
     * @param draw a random number from zero (inclusive) to one (exclusive)
     * @return the name of the service
     */
    public String serviceFor(double draw) {
        double sum = backends.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = draw * sum;
        for (WeightedService backend : backends) {
            remaining -= backend.weight();
            if (remaining < 0) {
                return backend.service();
            }
        }
        return backends.get(backends.size() - 1).service();
    }

    /**
     * A service and its weight among the services of a route.
     *
     * @param service the name of the service
     * @param weight the weight, relative to the sum of all weights
     */
    public record WeightedService(String service, double weight) {}
}
