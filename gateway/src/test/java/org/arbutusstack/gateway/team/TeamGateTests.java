package org.arbutusstack.gateway.team;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.gateway.config.TeamDirectory;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.time.ClockReading;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which callers are admitted, as which team and with which urgency. */
public class TeamGateTests {

    private static final String LONG_KEY = "k".repeat(8 * 1_024);

    private static final Route KEYED = route(1, 500, false);

    private static final Route PUBLIC = route(1, 500, true);

    private ManualClock clock;

    private TeamGate gate;

    @BeforeMethod
    void createGate() {
        clock = new ManualClock();
        gate = new TeamGate(OptionalLong.of(5_000), clock);
    }

    private static Route route(int priority, long targetMillis, boolean isPublic) {
        return new Route(
                "r" + priority,
                "h",
                "/" + priority + "/",
                RouteKind.SAFE,
                9_000,
                targetMillis,
                0,
                priority,
                List.of(new Route.WeightedService("s", 1)),
                1,
                false,
                false,
                isPublic);
    }

    private static Team team(String name, OptionalInt priority, String... keys) {
        Set<Digest> digests = new java.util.HashSet<>();
        for (String key : keys) {
            digests.add(Digest.of(key));
        }
        return new Team(name, digests, priority, AllotmentUnit.REQUEST, 0, 0, 0);
    }

    private static ServingConfig config(long version, List<Route> routes, Team... teams) {
        return new ServingConfig(version, routes, List.of(), 1_000, new TeamDirectory(List.of(teams)));
    }

    private void apply(ServingConfig config) {
        gate.config(config);
        gate.confirm(ClockReading.of(clock));
    }

    private void applyTeam(String... keys) {
        apply(config(1, List.of(KEYED, PUBLIC), team("a", OptionalInt.empty(), keys)));
    }

    @DataProvider
    public Object[][] headers() {
        return new Object[][] {
            {List.of("Bearer k1"), true},
            {List.of("bearer  k1 "), true},
            {List.of("Bearer " + LONG_KEY), true},
            {List.of("Bearer " + LONG_KEY + "k"), false},
            {List.of(), false},
            {List.of(""), false},
            {List.of("Bearer"), false},
            {List.of("Bearer "), false},
            {List.of("k1"), false},
            {List.of("Basic k1"), false},
            {List.of("Bearer k1, Bearer k1"), false},
            {List.of("Bearer k1", "Bearer k1"), false},
            {List.of("Bearer K1"), false},
            {List.of("Bearer " + Digest.of("k1").hex()), false}
        };
    }

    /** Guards against a caller without the key of a team, or with an ambiguous one, whose request runs. */
    @Test(dataProvider = "headers")
    public void shouldAdmitOnlyOneKeyOfTeam(List<String> authorization, boolean isAdmitted) {
        applyTeam("k1", LONG_KEY);
        Admission admission = gate.admit(KEYED, authorization);
        assertEquals(admission instanceof Admission.Admitted, isAdmitted, admission.toString());
        assertEquals(admission instanceof Admission.UnknownKey, !isAdmitted);
        assertFalse(admission.toString().contains("k1"), admission.toString());
    }

    /** Guards against keys with characters beyond ASCII, which headers carry as the bytes of their encoding. */
    @Test
    public void shouldCompareKeyByItsBytes() {
        applyTeam("schlüssel");
        String asHeader = new String(
                "schlüssel".getBytes(java.nio.charset.StandardCharsets.UTF_8),
                java.nio.charset.StandardCharsets.ISO_8859_1);
        assertTrue(gate.admit(KEYED, List.of("Bearer " + asHeader)) instanceof Admission.Admitted);
    }

    /** Guards against a public route that needs a key, stops with the lease, or takes a caller's key for its team's. */
    @Test
    public void shouldAdmitEveryCallerOfPublicRouteWithoutTeam() {
        applyTeam("k1");
        clock.advanceMillis(60_000);
        for (List<String> authorization : List.of(List.<String>of(), List.of("Bearer k1"), List.of("Basic x"))) {
            assertEquals(gate.admit(PUBLIC, authorization), new Admission.Admitted(Optional.empty(), 0));
        }
    }

    /** Guards against a withdrawn key that goes on, whether the new configuration is known or the lease has ended. */
    @Test
    public void shouldRefuseWithdrawnKeyAtOnceAndEveryKeyWhenLeaseHasEnded() {
        applyTeam("k1", "k2");
        apply(config(2, List.of(KEYED), team("a", OptionalInt.empty(), "k2")));
        assertTrue(gate.admit(KEYED, List.of("Bearer k1")) instanceof Admission.UnknownKey);
        assertTrue(gate.admit(KEYED, List.of("Bearer k2")) instanceof Admission.Admitted);
        clock.advanceMillis(4_500);
        assertTrue(gate.admit(KEYED, List.of("Bearer k2")) instanceof Admission.Stale stale
                && stale.retryAfterMillis() > 0);
        assertTrue(gate.admit(KEYED, List.of()) instanceof Admission.UnknownKey);
        gate.confirm(ClockReading.of(clock));
        assertTrue(gate.admit(KEYED, List.of("Bearer k2")) instanceof Admission.Admitted);
    }

    /** Guards against a clock that is set back and has gone on for the same time when the next request arrives. */
    @Test
    public void shouldNoticeBetweenRequestsThatClockWasSetBack() {
        applyTeam("k1");
        clock.moveWallMillis(-100);
        gate.tick();
        clock.moveWallMillis(100);
        assertTrue(gate.admit(KEYED, List.of("Bearer k1")) instanceof Admission.Stale);
    }

    /** Guards against any change for a deployment without teams. */
    @Test
    public void shouldAdmitEveryRequestWithUrgencyOfRouteWithoutTeams() {
        Route slow = route(3, 5_000, false);
        gate.config(config(1, List.of(KEYED, slow)));
        clock.advanceMillis(60_000);
        assertEquals(gate.admit(KEYED, List.of("Basic x")), new Admission.Admitted(Optional.empty(), 2));
        assertEquals(gate.admit(slow, List.of()), new Admission.Admitted(Optional.empty(), 7));
        assertTrue(gate.configAgeMillis().isEmpty());
    }

    private int urgency(Route route, String key) {
        return gate.admit(route, List.of("Bearer " + key)) instanceof Admission.Admitted admitted
                ? admitted.urgency()
                : -1;
    }

    /** Guards against a route's priority that outweighs the team's, and against combinations that look the same. */
    @Test
    public void shouldRankTeamThenRouteThenInteractive() {
        Route first = route(0, 500, false);
        Route second = route(1, 500, false);
        Route secondSlow = route(1, 5_000, false);
        apply(config(
                1,
                List.of(first, second, secondSlow),
                team("low", OptionalInt.of(40), "l"),
                team("high", OptionalInt.of(-2), "h"),
                team("mid", OptionalInt.of(7), "m")));
        List<Integer> urgencies = new ArrayList<>();
        for (String key : List.of("h", "m", "l")) {
            for (Route route : List.of(first, second, secondSlow)) {
                urgencies.add(urgency(route, key));
            }
        }
        assertEquals(urgencies, List.of(0, 1, 2, 3, 4, 5, 6, 7, 8));
    }

    /** Guards against teams without a priority, and public routes, that stand before or behind all others. */
    @Test
    public void shouldRankByRouteWhenTeamHasNoPriority() {
        Route first = route(0, 500, false);
        Route last = route(9, 500, true);
        apply(config(
                1, List.of(first, last), team("none", OptionalInt.empty(), "n"), team("mid", OptionalInt.of(4), "m")));
        assertEquals(List.of(urgency(first, "n"), urgency(first, "m"), urgency(last, "")), List.of(0, 1, 2));
    }

    /** Guards against levels out of range, and out of order, when there are more combinations than levels. */
    @Test
    public void shouldKeepOrderWhenCombinationsExceedLevels() {
        List<Team> teams = new ArrayList<>();
        for (int index = 0; index < 23; index++) {
            teams.add(team("t" + index, OptionalInt.of(index), "key" + index));
        }
        apply(config(1, List.of(KEYED), teams.toArray(Team[]::new)));
        int previous = 0;
        for (int index = 0; index < 23; index++) {
            int urgency = urgency(KEYED, "key" + index);
            assertTrue(urgency >= previous && urgency <= previous + 1, index + ": " + urgency);
            previous = urgency;
        }
        assertEquals(previous, 9);
    }
}
