package org.arbutusstack.gateway.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Holds one version of what operators want served. Immutable.
 *
 * @see Route
 */
public final class ServingConfig {

    private final long version;

    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    private final Map<String, ServedService> services = new HashMap<>();

    private final long maxBodyBytes;

    private final int routeCount;

    /**
     * Creates a version.
     *
     * @param version its number; later ones are higher
     * @param routes the routes
     * @param services the services
     * @param maxBodyBytes the longest body that a caller may send
     */
    public ServingConfig(long version, List<Route> routes, List<ServedService> services, long maxBodyBytes) {
        this.version = version;
        this.maxBodyBytes = maxBodyBytes;
        this.routeCount = routes.size();
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
     * Tells the version.
     *
     * @return its number
     */
    public long version() {
        return version;
    }

    /**
     * Tells the longest body that a caller may send.
     *
     * @return its length in bytes
     */
    public long maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Counts the routes.
     *
     * @return their number
     */
    public int routeCount() {
        return routeCount;
    }

    /**
     * Finds the route of a request: of those of its host, the one with the longest prefix of its path.
     *
     * @param host the host that the caller named
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
     * Finds a service.
     *
     * @param name the service's name
     * @return the service, or empty if there is none of that name
     */
    public Optional<ServedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Lists the services whose runners are engines.
     *
     * @return the services
     */
    public List<ServedService> engineServices() {
        return services.values().stream()
                .filter(service -> service.engine().isPresent())
                .sorted(Comparator.comparing(ServedService::name))
                .toList();
    }
}
