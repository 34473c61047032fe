package org.arbutusstack.gateway.allotment;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Set;

/** Metrics of the allotments at an entry. Safe for use by any thread. */
final class AllotmentMetrics {

    /** Limit on the teams with a label of their own. */
    private static final int MAX_TEAMS = 64;

    private static final String TEAM = "team";

    private final Set<String> teams = new HashSet<>();

    private final Counter decisions;

    private final Gauge waiting;

    private final Gauge tokens;

    private final Gauge grantAge;

    AllotmentMetrics(PrometheusRegistry registry) {
        this.decisions = Counter.builder()
                .name("arbutus_allotment_requests_total")
                .help("requests of teams with an allotment by team and decision")
                .labelNames(TEAM, "decision")
                .register(registry);
        this.waiting = Gauge.builder()
                .name("arbutus_allotment_requests_waiting")
                .help("requests that wait for tokens of the allotment by team")
                .labelNames(TEAM)
                .register(registry);
        this.tokens = Gauge.builder()
                .name("arbutus_allotment_tokens")
                .help("tokens of the allotment left at this entry by team")
                .labelNames(TEAM)
                .register(registry);
        this.grantAge = Gauge.builder()
                .name("arbutus_allotment_grant_age_seconds")
                .help("time since the keeper of the pool was last heard by team")
                .labelNames(TEAM)
                .register(registry);
    }

    private synchronized String labelOf(String team) {
        if (teams.size() < MAX_TEAMS) {
            teams.add(team);
        }
        return teams.contains(team) ? team : "other";
    }

    void count(String team, String decision) {
        decisions.labelValues(labelOf(team), decision).inc();
    }

    void update(String team, int waitingCount, double tokensLeft, double ageSeconds) {
        String label = labelOf(team);
        waiting.labelValues(label).set(waitingCount);
        tokens.labelValues(label).set(tokensLeft);
        grantAge.labelValues(label).set(ageSeconds);
    }

    /** Remove the values of a team that has no state here any more. */
    void remove(String team) {
        String label = labelOf(team);
        waiting.remove(label);
        tokens.remove(label);
        grantAge.remove(label);
    }
}
