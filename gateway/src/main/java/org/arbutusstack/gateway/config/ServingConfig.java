package org.arbutusstack.gateway.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;

/**
 * A version of the routes, services and limits that operators have configured. Immutable.
 *
 * @see Route
 */
public final class ServingConfig {

    private final long version;

    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    private final Map<String, ServedService> services = new HashMap<>();

    private final long maxBodyBytes;

    private final List<Route> routes;

    private final TeamDirectory teams;

    /**
     * Create a version without teams.
     *
     * @param version the version number; a later version has a higher one
     * @param routes the routes
     * @param services the services
     * @param maxBodyBytes the maximum length of a request body, in bytes
     */
    public ServingConfig(long version, List<Route> routes, List<ServedService> services, long maxBodyBytes) {
        this(version, routes, services, maxBodyBytes, TeamDirectory.EMPTY);
    }

    /**
     * Create a version.
     *
     * @param version the version number; a later version has a higher one
     * @param routes the routes
     * @param services the services
     * @param maxBodyBytes the maximum length of a request body, in bytes
     * @param teams the teams, by whose keys callers are identified; empty if callers need no keys
     */
    public ServingConfig(
            long version, List<Route> routes, List<ServedService> services, long maxBodyBytes, TeamDirectory teams) {
        this.teams = Assert.notNull(teams, "teams");
        this.version = version;
        this.maxBodyBytes = maxBodyBytes;
        this.routes = List.copyOf(routes);
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Return the version.
     *
     * @return the version number
     */
    public long version() {
        return version;
    }

    /**
     * Return the maximum length of a request body.
     *
     * @return the length in bytes
     */
    public long maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Return the teams.
     *
     * @return the teams; empty if callers need no keys
     */
    public TeamDirectory teams() {
        return teams;
    }

    /**
     * Return the number of routes.
     *
     * @return the number of routes for all hosts
     */
    public int routeCount() {
        return routes.size();
    }

    /**
     * Return the routes.
     *
     * @return the routes for all hosts, in no particular order
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Find the route of a request: the one with the longest matching path prefix among those of the host.
     *
     * @param host the host that the request names, in any case
     * @param path the path as sent
     * @return the route, or empty if none matches
     */
    public Optional<Route> resolve(String host, String path) {
        List<Route> routes = routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
        return routes.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Find a service by name.
     *
     * @param name the name of the service
     * @return the service, or empty if there is none of that name
     */
    public Optional<ServedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Return the services whose runners are engines.
     *
     * @return the services, ordered by name
     */
    public List<ServedService> engineServices() {
        return services.values().stream()
                .filter(service -> service.engine().isPresent())
                .sorted(Comparator.comparing(ServedService::name))
                .toList();
    }
}
