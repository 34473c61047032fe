package org.arbutusstack.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * What each team has recently sent through this entry, relative to its allotment, so that a team at several times its
 * usual load does not displace others of equal urgency.
 *
 * <p>The load is one hot team among many while room is short: requests of all teams wait, and those of the team that
 * has had less of its share go first. Does no I/O; confined to the entry's event loop.
 */
final class TeamUsage {

    /** Time in which past use loses half of its weight; a few times the length of a burst's peak. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    private final Clock clock;

    private final Map<String, Double> usedByTeam = new HashMap<>();

    private long decayedAtNanos;

    TeamUsage(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.decayedAtNanos = clock.nowNanos();
    }

    /** Record a request that is being sent to a runner. */
    void recordSent(InboundRequest request) {
        request.team().ifPresent(team -> {
            decay();
            usedByTeam.merge(team.name(), request.allotmentCost() / weight(team), Double::sum);
        });
    }

    /** Forget the teams that a new configuration does not have. */
    void config(ServingConfig next) {
        usedByTeam
                .keySet()
                .retainAll(next.teams().all().stream().map(Team::name).toList());
    }

    /**
     * Return the share that a team has had, as of the last request sent; zero for a request without a team. Does not
     * change with time, so that requests can be ordered by it.
     */
    double shareUsed(Optional<Team> team) {
        if (team.isEmpty()) {
            return 0;
        }
        return usedByTeam.getOrDefault(team.get().name(), 0.0);
    }

    private static double weight(Team team) {
        return team.isLimited() ? team.ratePerSecond() : 1;
    }

    private void decay() {
        double elapsedMillis = (clock.nowNanos() - decayedAtNanos) / (double) Clock.NANOS_PER_MILLI;
        if (elapsedMillis <= 0) {
            return;
        }
        decayedAtNanos = clock.nowNanos();
        double factor = Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS);
        usedByTeam.replaceAll((team, used) -> used * factor);
    }
}
