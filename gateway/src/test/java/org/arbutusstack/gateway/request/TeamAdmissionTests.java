package org.arbutusstack.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusstack.gateway.allotment.Admission;
import org.arbutusstack.gateway.config.AllotmentUnit;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.ServingConfig;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.gateway.config.TeamDirectory;
import org.arbutusstack.model.request.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TeamAdmission} in the dispatcher of an only entry, whose own share is the whole allotment. */
public class TeamAdmissionTests {

    private static final double PER_SECOND = 10;

    private static final int BURST = 4;

    private DispatcherHarness harness;

    private long version;

    /** Caller of the request that has taken the last token. */
    private FakeCaller lastAdmitted;

    @BeforeMethod
    public void setUp() {
        harness = new DispatcherHarness();
        harness.runner("r-1", DispatcherHarness.PLAIN);
        Team raven = new Team("raven", Set.of(), OptionalInt.empty(), AllotmentUnit.REQUEST, PER_SECOND, BURST, 0);
        harness.team = Optional.of(raven);
        configure(List.of(raven));
        // The entry assumes many others until it has been linked for a second.
        harness.clock.advanceMillis(1_500);
        send();
        pass(1_000);
        for (int count = 0; count < BURST; count++) {
            lastAdmitted = send();
        }
        assertEquals(sent(), BURST + 1);
    }

    private void configure(List<Team> teams) {
        version++;
        harness.allotments.config(new ServingConfig(version, List.of(), List.of(), 1_000, new TeamDirectory(teams)));
    }

    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += 20) {
            harness.clock.advanceMillis(20);
            harness.allotments.tick();
        }
    }

    private FakeCaller send() {
        return harness.send(RouteKind.SAFE, false);
    }

    private int sent() {
        return harness.runners.sent.size();
    }

    /** Guards against requests beyond the allotment that reach a runner, and against too early a Retry-After. */
    @Test
    public void shouldRefuseWithTimeAtWhichThereIsRoomWhenAllotmentIsUsedUp() {
        FakeCaller held = send();
        FakeCaller refused = send();
        assertEquals(sent(), BURST + 1);
        assertNull(held.refusal);
        assertEquals(refused.refusal.reason(), RefusalReason.OVER_ALLOTMENT);
        pass(120);
        assertEquals(sent(), BURST + 2);
        pass(refused.retryAfterMillis - 120);
        send();
        assertEquals(sent(), BURST + 3);
    }

    /** Guards against requests that wait for tokens and are never answered. */
    @Test
    public void shouldAdmitHeldRequestWhenTeamHasNoLimitAnyMore() {
        FakeCaller held = send();
        configure(List.of());
        assertNull(held.refusal);
        assertEquals(sent(), BURST + 2);
    }

    /** Guards against tokens that are lost although their requests have not run. */
    @Test
    public void shouldGiveTokensBackWhenRunnerStatesThatRequestHasNotRun() {
        while (!lastAdmitted.isAnswered()) {
            harness.runners.last().answer(503, AnswerKind.NOT_RUN, "full");
        }
        int before = sent();
        send();
        assertEquals(sent(), before + 1);
        FakeCaller beyond = send();
        assertEquals(sent(), before + 1);
        assertTrue(beyond.refusal == null, "the next one waits for its tokens");
    }

    /** Guards against tokens that are used twice although the first request may have run. */
    @Test
    public void shouldKeepTokensWhenRequestMayHaveRun() {
        FakeCaller lost = harness.send(RouteKind.UNSAFE, false);
        pass(120);
        harness.runners.last().fail(true);
        assertEquals(lost.refusal.reason(), RefusalReason.BACKEND_LOST);
        int before = sent();
        send();
        assertEquals(sent(), before);
    }

    /** Guards against a caller that has left and whose request is sent all the same. */
    @Test
    public void shouldNotSendHeldRequestWhenCallerHasLeft() {
        FakeCaller held = send();
        held.disconnect();
        pass(120);
        assertEquals(sent(), BURST + 1);
        send();
        assertEquals(sent(), BURST + 2);
    }

    /** Guards against requests without a team that wait for the allotment of one. */
    @Test
    public void shouldSendAtOnceWhenRequestHasNoTeam() {
        harness.team = Optional.empty();
        send();
        assertEquals(sent(), BURST + 2);
    }

    /** Guards against teams whose requests are held until they are refused, since the decision on another failed. */
    @Test
    public void shouldDecideForOtherTeamsWhenDecisionOnOneFails() {
        Team raven = harness.team.orElseThrow();
        Team wren = new Team("wren", Set.of(), OptionalInt.empty(), AllotmentUnit.REQUEST, PER_SECOND, 1, 0);
        configure(List.of(raven, wren));
        List<Admission> decisions = new ArrayList<>();
        for (Team team : List.of(raven, wren)) {
            for (int count = 0; count <= BURST; count++) {
                harness.allotments.admit(team, 1, decision -> {
                    decisions.add(decision);
                    throw new IllegalStateException("the decision on team " + team.name() + " failed");
                });
            }
        }
        pass(1_000);
        assertEquals(decisions.size(), 2);
    }
}
