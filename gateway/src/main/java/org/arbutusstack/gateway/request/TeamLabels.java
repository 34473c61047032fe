package org.arbutusstack.gateway.request;

import java.util.HashSet;
import java.util.Set;
import org.arbutusstack.gateway.config.Team;

/**
 * Labels of teams in metrics, bounded over all versions of the configuration. Safe for use by any thread.
 *
 * <p>A team keeps its label until the process ends, since a counter must not change its meaning.
 */
public final class TeamLabels {

    /** Several times the number of teams in the given deployments. */
    static final int MAX_TEAMS = 64;

    /** The label of the teams beyond the limit. */
    static final String OTHER = "other";

    private final Set<String> names = new HashSet<>();

    /**
     * Return the label of a team.
     *
     * @param team the team
     * @return its name, or a common label if too many teams have been seen
     */
    public synchronized String of(Team team) {
        boolean known = names.contains(team.name()) || names.size() < MAX_TEAMS && names.add(team.name());
        return known ? team.name() : OTHER;
    }
}
