package org.arbutusstack.gateway.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;

/** The teams of a configuration, found by the digests of their keys. Immutable. */
public final class TeamDirectory {

    /** Directory of a configuration without teams, whose callers need no keys. */
    public static final TeamDirectory EMPTY = new TeamDirectory(List.of());

    private final Map<String, Team> teamsByName = new HashMap<>();

    private final Map<Digest, Team> teamsByKey = new HashMap<>();

    /**
     * Create a directory.
     *
     * @param teams the teams
     * @throws IllegalArgumentException if two teams have the same name or the same key
     */
    public TeamDirectory(Collection<Team> teams) {
        for (Team team : teams) {
            Assert.isTrue(teamsByName.put(team.name(), team) == null, "team '" + team.name() + "' is defined twice");
            for (Digest key : team.keyDigests()) {
                Team other = teamsByKey.put(key, team);
                Assert.isTrue(other == null, "a key of team '" + team.name() + "' is also one of another team");
            }
        }
    }

    /**
     * Return whether the configuration has no teams.
     *
     * @return whether callers need no keys
     */
    public boolean isEmpty() {
        return teamsByName.isEmpty();
    }

    /**
     * Find the team that holds a key.
     *
     * @param key the digest of the key
     * @return the team, or empty if no team holds the key
     */
    public Optional<Team> find(Digest key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /**
     * Return all teams.
     *
     * @return the teams, in no particular order
     */
    public Collection<Team> all() {
        return List.copyOf(teamsByName.values());
    }
}
