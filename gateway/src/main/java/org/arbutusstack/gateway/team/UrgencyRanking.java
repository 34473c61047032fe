package org.arbutusstack.gateway.team;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;

/**
 * Ranking of the combinations of teams and routes in a configuration, from which the urgency of requests in an engine
 * follows. Immutable.
 *
 * <p>Addresses teams whose work must go first whatever the route: engines distinguish ten levels only, fewer than the
 * priorities that operators combine, so that the combinations in use are ranked instead of computed with.
 */
final class UrgencyRanking {

    /** The number of levels that engines distinguish. */
    private static final int LEVELS = 10;

    /** The combinations in order; empty without teams. */
    private final List<Combination> ranked;

    UrgencyRanking(ServingConfig config) {
        TreeSet<Combination> combinations = new TreeSet<>();
        if (!config.teams().isEmpty()) {
            Collection<Team> teams = config.teams().all();
            for (Route route : rankedRoutes(config)) {
                if (route.isPublic()) {
                    combinations.add(Combination.of(route, Optional.empty()));
                } else {
                    teams.forEach(team -> combinations.add(Combination.of(route, Optional.of(team))));
                }
            }
        }
        this.ranked = List.copyOf(combinations);
    }

    /** Return the routes to engines, since no other runners know levels; all routes if there are none. */
    private static List<Route> rankedRoutes(ServingConfig config) {
        List<Route> toEngines = config.routes().stream()
                .filter(route -> route.backends().stream().anyMatch(backend -> config.service(backend.service())
                        .flatMap(service -> service.engine())
                        .isPresent()))
                .toList();
        return toEngines.isEmpty() ? config.routes() : toEngines;
    }

    /**
     * Return the urgency of a request in an engine.
     *
     * @param route the route
     * @param team the team; empty if the caller needs no key
     * @return the urgency from 0 to 9, zero for the most urgent; without teams that of the route
     */
    int urgencyOf(Route route, Optional<Team> team) {
        if (ranked.isEmpty()) {
            return route.urgency();
        }
        Combination own = Combination.of(route, team);
        int rank = (int)
                ranked.stream().takeWhile(other -> other.compareTo(own) < 0).count();
        return Math.min(LEVELS - 1, ranked.size() <= LEVELS ? rank : rank * LEVELS / ranked.size());
    }

    /**
     * A combination of priorities. A request without a priority of a team counts with that of its route in its place.
     */
    private record Combination(int teamPriority, int routePriority, boolean isSlow) implements Comparable<Combination> {

        private static final Comparator<Combination> ORDER = Comparator.comparingInt(Combination::teamPriority)
                .thenComparingInt(Combination::routePriority)
                .thenComparing(Combination::isSlow);

        static Combination of(Route route, Optional<Team> team) {
            int teamPriority = team.isPresent() ? team.get().priority().orElse(route.priority()) : route.priority();
            return new Combination(teamPriority, route.priority(), !route.isInteractive());
        }

        @Override
        public int compareTo(Combination other) {
            return ORDER.compare(this, other);
        }
    }
}
