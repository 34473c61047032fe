package org.arbutusstack.gateway.team;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ClockReading;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admission of callers by their keys: decides which team a request belongs to and how urgent it is.
 *
 * <p>Addresses deployments whose teams share the runners and whose keys are withdrawn at short notice. A request is
 * checked once, when it has been read: its caller sent it earlier, so that later waiting changes nothing. Without teams
 * every request is admitted with the urgency of its route. Confined to the entry's event loop.
 *
 * @see ConfigLease
 */
public final class TeamGate {

    private static final Logger logger = LoggerFactory.getLogger(TeamGate.class);

    /** The Retry-After while the lease has expired: a store that is away is called at least once a second. */
    private static final long STALE_RETRY_AFTER_MILLIS = 1_000;

    private static final String NO_KEY = "one header 'Authorization: Bearer KEY' is needed";

    private static final String UNKNOWN = "no team holds this key";

    private final ConfigLease lease;

    private ServingConfig config;

    private UrgencyRanking ranking;

    private boolean stale;

    /**
     * Create a gate that knows no configuration yet.
     *
     * @param revokeMillis the time after which a withdrawn key may no longer be accepted, in milliseconds; empty for no
     *     limit
     * @param clock the clock of the process
     */
    public TeamGate(OptionalLong revokeMillis, Clock clock) {
        this.lease = new ConfigLease(revokeMillis, clock);
    }

    /**
     * Apply a configuration.
     *
     * @param next the configuration
     */
    public void config(ServingConfig next) {
        ranking = new UrgencyRanking(next);
        config = next;
    }

    /**
     * Extend the lease: the configuration in force includes everything that the store had acknowledged at an instant.
     *
     * @param sentAt the clocks when the call to the store was sent
     */
    public void confirm(ClockReading sentAt) {
        lease.confirm(sentAt);
        updateStale();
    }

    /** Check the lease, so that a clock that was set back is noticed before it has gone on for the same time. */
    public void tick() {
        updateStale();
    }

    /**
     * Decide on a request. A configuration must have been applied.
     *
     * @param route the route of the request
     * @param authorization the values of all its {@code Authorization} headers, one character for each byte
     * @return the decision
     */
    public Admission admit(Route route, List<String> authorization) {
        if (config.teams().isEmpty() || route.isPublic()) {
            return new Admission.Admitted(Optional.empty(), ranking.urgencyOf(route, Optional.empty()));
        }
        Optional<Digest> key = BearerKey.digestOf(authorization);
        if (key.isEmpty()) {
            return new Admission.UnknownKey(NO_KEY);
        }
        updateStale();
        if (stale) {
            return new Admission.Stale(STALE_RETRY_AFTER_MILLIS);
        }
        Optional<Team> team = config.teams().find(key.get());
        return team.isPresent()
                ? new Admission.Admitted(team, ranking.urgencyOf(route, team))
                : new Admission.UnknownKey(UNKNOWN);
    }

    private boolean hasTeams() {
        return config != null && !config.teams().isEmpty();
    }

    private void updateStale() {
        boolean before = stale;
        stale = hasTeams() && !lease.isValid();
        if (stale && !before) {
            logger.warn("event=config-stale version={} age_ms={}", config.version(), ageText());
        } else if (before && !stale) {
            logger.info("event=config-fresh version={} age_ms={}", config.version(), ageText());
        }
    }

    private String ageText() {
        OptionalLong age = lease.ageMillis();
        return age.isPresent() ? Long.toString(age.getAsLong()) : "unknown";
    }

    /**
     * Return the age of what is known of the configuration.
     *
     * @return the milliseconds since the last call to the store that was answered was sent; empty if unknown or without
     *     teams
     */
    public OptionalLong configAgeMillis() {
        return hasTeams() ? lease.ageMillis() : OptionalLong.empty();
    }

    /**
     * Return the names of the teams.
     *
     * @return the names in order; empty without teams
     */
    public List<String> teamNames() {
        return config == null
                ? List.of()
                : config.teams().all().stream().map(Team::name).sorted().toList();
    }
}
