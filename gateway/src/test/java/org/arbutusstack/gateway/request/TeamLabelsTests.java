package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.Team;
import org.testng.annotations.Test;

/** Tests that metrics by team stay bounded. */
public class TeamLabelsTests {

    private static Team team(String name) {
        return new Team(name, Set.of(), OptionalInt.empty(), AllotmentUnit.REQUEST, 0, 0, 0);
    }

    private static InboundRequest request(Optional<Team> team) {
        return new InboundRequest(
                "q",
                "GET",
                "/p/x",
                Map.of(),
                new byte[0],
                DispatcherHarness.route(RouteKind.SAFE, "s", 1, false),
                "s",
                team,
                "",
                "",
                0,
                0,
                0,
                List.of(),
                "",
                0,
                0);
    }

    /** Guards against outcomes that are not counted for their team, and series for requests without one. */
    @Test
    public void shouldCountOutcomesByTeamOnly() {
        PrometheusRegistry registry = new PrometheusRegistry();
        GatewayMetrics metrics = new GatewayMetrics(registry);
        metrics.recordOutcome(request(Optional.of(team("a"))), "answered");
        metrics.recordOutcome(request(Optional.empty()), "answered");
        CounterSnapshot counted = (CounterSnapshot)
                registry.scrape("arbutus_gateway_team_requests_total"::equals).get(0);
        assertEquals(counted.getDataPoints().size(), 1);
        assertEquals(counted.getDataPoints().get(0).getLabels(), Labels.of("team", "a", "outcome", "answered"));
    }

    /** Guards against series that grow with each team that operators have ever named. */
    @Test
    public void shouldUseCommonLabelBeyondLimitAndKeepThoseGiven() {
        TeamLabels labels = new TeamLabels();
        for (int round = 0; round < 2; round++) {
            for (int index = 0; index < 2 * TeamLabels.MAX_TEAMS; index++) {
                String name = "t" + index;
                assertEquals(labels.of(team(name)), index < TeamLabels.MAX_TEAMS ? name : TeamLabels.OTHER);
            }
        }
    }
}
